package share

import (
	"encoding/json"
	"net"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel/events"
)

func (mesh *Mesh) receive() {
	buffer := make([]byte, 64<<10)
	for {
		count, _, err := mesh.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		err = mesh.handleMessage(buffer[:count])
		if err != nil {
			events.Log(mesh.logger, events.MessageInvalid, zap.Error(err))
		}
	}
}

func (mesh *Mesh) handleMessage(data []byte) error {
	method, params, err := decode(data)
	if err != nil {
		return err
	}
	if !mesh.canDateReads(mesh.clock.Now()) && isTimeLimited(method) {
		return nil
	}
	switch method {
	case methodReport:
		var report Report
		err = json.Unmarshal(params, &report)
		if err == nil && mesh.recordReport(report) {
			mesh.onReport()
		}
	case methodLoad:
		var load Load
		err = json.Unmarshal(params, &load)
		if err == nil && mesh.recordLoad(load) {
			mesh.onCounts()
		}
	case methodSum:
		var sum Sum
		err = json.Unmarshal(params, &sum)
		if err == nil && mesh.recordSum(sum) {
			mesh.onCounts()
		}
	case methodAnnounce:
		var announcement Announcement
		err = json.Unmarshal(params, &announcement)
		if err == nil {
			mesh.forwardToGroup(announcement)
			mesh.onAnnouncement(announcement)
		}
	case methodDemand:
		var demand Demand
		err = json.Unmarshal(params, &demand)
		if err == nil {
			mesh.onDemand(demand)
		}
	}
	return errors.WithStack(err)
}

// dated reports whether a message is believed for a time from its reading.
func isTimeLimited(method string) bool {
	return method == methodReport || method == methodLoad || method == methodSum
}

// note keeps a report of a known host's present life.
func (mesh *Mesh) recordReport(report Report) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	peer, known := mesh.peers[report.Host]
	if !known || peer.Incarnation != report.Incarnation {
		mesh.unknownSender = true
		return false
	}
	old, reported := mesh.reports[report.Host]
	if reported && old.Report.Sequence >= report.Sequence {
		return false
	}
	now := mesh.clock.Now()
	mesh.reports[report.Host] = ReceivedReport{Report: report, ReceivedAt: now}
	mesh.contacts.recordReceived(report.Host, now)
	if mesh.unreachable[report.Host] || !reported {
		delete(mesh.unreachable, report.Host)
		events.Log(mesh.logger, events.PeerHeard, zap.String("Host", report.Host), zap.Int64("Term", report.Term))
	}
	return true
}

// HasUnknownSender reports whether a host that is not among the peers, or an unknown life of one, has reported since the last
// call.
func (mesh *Mesh) HasUnknownSender() bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	found := mesh.unknownSender
	mesh.unknownSender = false
	return found
}

// noteLoad keeps a load of a known host's present life.
func (mesh *Mesh) recordLoad(load Load) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	peer, known := mesh.peers[load.Host]
	if !known || peer.Incarnation != load.Incarnation {
		return false
	}
	return mesh.loads.recordIfNewer(load, mesh.clock.Now())
}

// noteSum keeps a group's sum, of a known host's present life.
func (mesh *Mesh) recordSum(sum Sum) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	peer, known := mesh.peers[sum.Host]
	now := mesh.clock.Now()
	if !known || peer.Incarnation != sum.Incarnation || !mesh.loads.recordSumIfNewer(sum, now) {
		return false
	}
	mesh.contacts.recordReceived(sum.Host, now)
	return true
}
