package share

import (
	"encoding/json"
	"net"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cherrykeel/events"
)

// receive handles messages until the socket is closed.
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
		report.joinEras(mesh.defaultEra())
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
			announcement.joinEras(mesh.defaultEra())
			mesh.onAnnouncement(announcement)
		}
	case methodAsks:
		var asks Asks
		err = json.Unmarshal(params, &asks)
		if err == nil && mesh.isPeer(asks.Host, asks.Incarnation) {
			mesh.permitHandler.HandleAsks(asks)
		}
	case methodPermits:
		var permits Permits
		err = json.Unmarshal(params, &permits)
		if err == nil && mesh.isPeer(permits.Host, permits.Incarnation) {
			mesh.permitHandler.HandlePermits(permits)
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

// isTimeLimited reports whether a message's content is used only for a time, counted from when it was read.
func isTimeLimited(method string) bool {
	switch method {
	case methodReport, methodLoad, methodSum, methodAsks, methodPermits:
		return true
	default:
		return false
	}
}

// recordReport records a report of a known host's present incarnation if it is newer than the one known, and reports
// whether it did.
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
		events.Log(mesh.logger, events.PeerReachable, zap.String("Host", report.Host), zap.Int64("Term", report.Term))
	}
	return true
}

// HasUnknownSender reports whether, since the last call, a host has reported that is not among the peers, or another
// incarnation of one.
func (mesh *Mesh) HasUnknownSender() bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	found := mesh.unknownSender
	mesh.unknownSender = false
	return found
}

// recordLoad records a load of a known host's present incarnation, and reports whether it was new.
func (mesh *Mesh) recordLoad(load Load) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	peer, known := mesh.peers[load.Host]
	if !known || peer.Incarnation != load.Incarnation {
		return false
	}
	return mesh.loads.recordIfNewer(load, mesh.clock.Now())
}

// recordSum records a sum from a known host's present incarnation, and reports whether it was new.
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
