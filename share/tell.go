package share

import (
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

// tellBytes bounds the records of one message. What is told when many upstreams register at once was one datagram of
// up to 60 KB for each host, and was not sent at all beyond that; a link that is full drops such ones first.
const maxAnnouncementBytes = 12 << 10

// Announce passes records on to all other hosts. Among many hosts they go to this host's group and to two hosts of each
// other group, which pass them on: sent to 194 hosts one by one a table's change took the sender's link for tens of
// milliseconds, and reports of it overtook it. What is too large for a datagram the hosts read for themselves.
func (mesh *Mesh) Announce(topic string, records []cherrykeel.KeyedRecord, previousOffset int64) {
	if mesh.socket == nil {
		return
	}
	direct, forwarders := mesh.announcementReceivers()
	for _, chunk := range splitBySize(records) {
		announcement := Announcement{Host: mesh.self.Name, Topic: topic, Records: chunk, PreviousOffset: previousOffset}
		mesh.sendAnnouncement(announcement, direct)
		announcement.Forward = true
		mesh.sendAnnouncement(announcement, forwarders)
		if previousOffset != NoPreviousChange {
			previousOffset = chunk[len(chunk)-1].Offset
		}
	}
}

// tellTo returns who is told by this host, and who passes it on besides.
func (mesh *Mesh) announcementReceivers() (direct, forwarders []string) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if mesh.plan.FullMesh {
		return mesh.peerNames(), nil
	}
	return mesh.plan.Group, mesh.plan.Forwarders
}

// forward passes a message on to this host's group if it is asked to.
func (mesh *Mesh) forwardToGroup(announcement Announcement) {
	if !announcement.Forward {
		return
	}
	announcement.Forward = false
	mesh.mutex.Lock()
	group := mesh.plan.Group
	mesh.mutex.Unlock()
	mesh.sendAnnouncement(announcement, group)
}

func (mesh *Mesh) sendAnnouncement(announcement Announcement, names []string) {
	if len(names) == 0 {
		return
	}
	data, err := encode(methodAnnounce, announcement)
	if err != nil {
		events.Log(mesh.logger, events.MessageInvalid, zap.Error(err))
		return
	}
	if len(data) <= maxDatagramBytes {
		mesh.sendData(data, names)
	}
}

// split cuts records into parts of bounded size, in their order.
func splitBySize(records []cherrykeel.KeyedRecord) [][]cherrykeel.KeyedRecord {
	var chunks [][]cherrykeel.KeyedRecord
	begin, size := 0, 0
	for i, record := range records {
		if i > begin && size+len(record.Value) > maxAnnouncementBytes {
			chunks = append(chunks, records[begin:i])
			begin, size = i, 0
		}
		size += len(record.Key) + len(record.Value)
	}
	if begin < len(records) {
		chunks = append(chunks, records[begin:])
	}
	return chunks
}
