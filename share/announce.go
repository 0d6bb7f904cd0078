package share

import (
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/events"
)

// maxAnnouncementBytes bounds the records of one message. When many upstreams registered at once, a single datagram of
// up to 60 KB went to each host, and beyond that nothing was sent; a congested link drops such datagrams first.
const maxAnnouncementBytes = 12 << 10

// Announce sends records to all other hosts. If the hosts are too many for a full mesh, they go to this host's group
// and to two hosts of each other group, which pass them on: sent to 194 hosts one by one, a change of the table
// occupied the sender's link for tens of milliseconds, and reports of the change arrived before it. Hosts read records
// that are too large for a datagram from the store.
func (mesh *Mesh) Announce(topic string, records []cherrykeel.KeyedRecord, previousOffset int64) {
	if mesh.socket == nil {
		return
	}
	direct, forwarders := mesh.announcementReceivers()
	for _, chunk := range splitBySize(records) {
		announcement := Announcement{Host: mesh.self.Name, Topic: topic, Records: chunk, PreviousOffset: previousOffset}
		announcement.splitEras()
		mesh.sendAnnouncement(announcement, direct)
		announcement.Forward = true
		mesh.sendAnnouncement(announcement, forwarders)
		if previousOffset != NoPreviousChange {
			previousOffset = chunk[len(chunk)-1].Offset
		}
	}
}

// announcementReceivers returns the hosts to which this host sends announcements, and those that must also pass them
// on.
func (mesh *Mesh) announcementReceivers() (direct, forwarders []string) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if mesh.plan.FullMesh {
		return mesh.peerNames(), nil
	}
	return mesh.plan.Group, mesh.plan.Forwarders
}

// forwardToGroup passes a message on to this host's group if the message asks for it.
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

// splitBySize splits records into chunks of bounded size, in their order.
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
