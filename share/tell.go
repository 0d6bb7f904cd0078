package share

import (
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

// tellBytes bounds the records of one message. What is told when many upstreams register at once was one datagram of
// up to 60 KB for each host, and was not sent at all beyond that; a link that is full drops such ones first.
const tellBytes = 12 << 10

// Announce passes records on to all other hosts. Among many hosts they go to this host's group and to two hosts of each
// other group, which pass them on: sent to 194 hosts one by one a table's change took the sender's link for tens of
// milliseconds, and reports of it overtook it. What is too large for a datagram the hosts read for themselves.
func (mesh *Mesh) Announce(topic string, records []cherrykeel.KeyedRecord, before int64) {
	if mesh.socket == nil {
		return
	}
	direct, relays := mesh.tellTo()
	for _, part := range split(records) {
		told := Announcement{Host: mesh.self.Name, Topic: topic, Records: part, PreviousOffset: before}
		mesh.sendTold(told, direct)
		told.Forward = true
		mesh.sendTold(told, relays)
		if before != NoPreviousChange {
			before = part[len(part)-1].Offset
		}
	}
}

// tellTo returns who is told by this host, and who passes it on besides.
func (mesh *Mesh) tellTo() (direct, relays []string) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if mesh.plan.FullMesh {
		return mesh.names(), nil
	}
	return mesh.plan.Group, mesh.plan.Forwarders
}

// forward passes a message on to this host's group if it is asked to.
func (mesh *Mesh) forward(told Announcement) {
	if !told.Forward {
		return
	}
	told.Forward = false
	mesh.mutex.Lock()
	group := mesh.plan.Group
	mesh.mutex.Unlock()
	mesh.sendTold(told, group)
}

func (mesh *Mesh) sendTold(told Announcement, names []string) {
	if len(names) == 0 {
		return
	}
	data, err := encode(methodTell, told)
	if err != nil {
		events.Log(mesh.logger, events.MessageInvalid, zap.Error(err))
		return
	}
	if len(data) <= maxDatagram {
		mesh.sendData(data, names)
	}
}

// split cuts records into parts of bounded size, in their order.
func split(records []cherrykeel.KeyedRecord) [][]cherrykeel.KeyedRecord {
	var parts [][]cherrykeel.KeyedRecord
	begin, size := 0, 0
	for i, record := range records {
		if i > begin && size+len(record.Value) > tellBytes {
			parts = append(parts, records[begin:i])
			begin, size = i, 0
		}
		size += len(record.Key) + len(record.Value)
	}
	if begin < len(records) {
		parts = append(parts, records[begin:])
	}
	return parts
}
