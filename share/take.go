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
		err = mesh.take(buffer[:count])
		if err != nil {
			events.Log(mesh.logger, events.MessageInvalid, zap.Error(err))
		}
	}
}

func (mesh *Mesh) take(data []byte) error {
	method, params, err := decode(data)
	if err != nil {
		return err
	}
	if !mesh.awake(mesh.clock.Now()) && dated(method) {
		return nil
	}
	switch method {
	case methodReport:
		var report Report
		err = json.Unmarshal(params, &report)
		if err == nil && mesh.note(report) {
			mesh.reported()
		}
	case methodLoad:
		var load Load
		err = json.Unmarshal(params, &load)
		if err == nil && mesh.noteLoad(load) {
			mesh.counted()
		}
	case methodSum:
		var sum Sum
		err = json.Unmarshal(params, &sum)
		if err == nil && mesh.noteSum(sum) {
			mesh.counted()
		}
	case methodTell:
		var told Announcement
		err = json.Unmarshal(params, &told)
		if err == nil {
			mesh.forward(told)
			mesh.told(told)
		}
	case methodDemand:
		var demand Demand
		err = json.Unmarshal(params, &demand)
		if err == nil {
			mesh.demand(demand)
		}
	}
	return errors.WithStack(err)
}

// dated reports whether a message is believed for a time from its reading.
func dated(method string) bool {
	return method == methodReport || method == methodLoad || method == methodSum
}

// note keeps a report of a known host's present life.
func (mesh *Mesh) note(report Report) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	peer, known := mesh.peers[report.Host]
	if !known || peer.Incarnation != report.Incarnation {
		mesh.unknown = true
		return false
	}
	old, heard := mesh.heard[report.Host]
	if heard && old.Report.Sequence >= report.Sequence {
		return false
	}
	now := mesh.clock.Now()
	mesh.heard[report.Host] = ReceivedReport{Report: report, ReceivedAt: now}
	mesh.spoken.heard(report.Host, now)
	if mesh.silent[report.Host] || !heard {
		delete(mesh.silent, report.Host)
		events.Log(mesh.logger, events.PeerHeard, zap.String("Host", report.Host), zap.Int64("Term", report.Term))
	}
	return true
}

// HasUnknownSender reports whether a host that is not among the peers, or an unknown life of one, has reported since the last
// call.
func (mesh *Mesh) HasUnknownSender() bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	heard := mesh.unknown
	mesh.unknown = false
	return heard
}

// noteLoad keeps a load of a known host's present life.
func (mesh *Mesh) noteLoad(load Load) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	peer, known := mesh.peers[load.Host]
	if !known || peer.Incarnation != load.Incarnation {
		return false
	}
	return mesh.loads.take(load, mesh.clock.Now())
}

// noteSum keeps a group's sum, of a known host's present life.
func (mesh *Mesh) noteSum(sum Sum) bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	peer, known := mesh.peers[sum.Host]
	now := mesh.clock.Now()
	if !known || peer.Incarnation != sum.Incarnation || !mesh.loads.takeSum(sum, now) {
		return false
	}
	mesh.spoken.heard(sum.Host, now)
	return true
}
