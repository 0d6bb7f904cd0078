package share

import (
	"time"

	"cherrykeel"
)

const (
	// demandInterval is the interval at which requested keys are reported to the keeper.
	demandInterval = 100 * time.Millisecond
	// demandSlowdown multiplies the interval when the hosts are too many for a full mesh: most of 72 hosts have at most
	// one key to report in one interval.
	demandSlowdown = 3
	// processingTimeInterval is the time after which an upstream's processing time is reported again although it has not
	// changed: the keeper uses a reported time for 3 s, and messages get lost. A change by the share processingTimeChange
	// is sent with the next keys.
	processingTimeInterval = time.Second
	processingTimeChange   = 0.1
	// maxDemandKeys bounds the keys of a service in one message; further keys are not counted.
	maxDemandKeys = 4000
)

// RecordKeyRequest records a request for a key, for the next report to the keeper.
func (mesh *Mesh) RecordKeyRequest(service string, key int) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if len(mesh.requestedKeys[service]) < maxDemandKeys {
		mesh.requestedKeys[service] = append(mesh.requestedKeys[service], key)
	}
}

// ReportDemand sends the keys requested since the last report to the keeper, which may be this host, with the
// processing times of each service's upstreams. If the hosts are too many for a full mesh, most calls send nothing, so
// that each report has more keys.
func (mesh *Mesh) ReportDemand(keeper string, processingTimes func(service string) map[string]time.Duration) {
	now := mesh.clock.Now()
	mesh.mutex.Lock()
	if !mesh.plan.FullMesh && now.Sub(mesh.demandSentAt) < demandSlowdown*demandInterval {
		mesh.mutex.Unlock()
		return
	}
	mesh.demandSentAt = now
	requested := mesh.requestedKeys
	mesh.requestedKeys = map[string][]int{}
	mesh.mutex.Unlock()
	for service, keys := range requested {
		times := processingTimes(service)
		if keeper == mesh.self.Name {
			mesh.onDemand(Demand{Host: mesh.self.Name, Service: service, Keys: keys, ProcessingTimes: times})
			continue
		}
		mesh.send(methodDemand, Demand{Host: mesh.self.Name, Service: service, Keys: keys, ProcessingTimes: mesh.unsentProcessingTimes(times, now)}, []string{keeper})
	}
}

// sentProcessingTime is the processing time of an upstream that was last sent to the keeper.
type sentProcessingTime struct {
	processingTime time.Duration
	sentAt         cherrykeel.Instant
}

// unsentProcessingTimes returns the processing times that the keeper has not been sent, or may have missed. Those of
// 130 upstreams would take 3 KB in each message.
func (mesh *Mesh) unsentProcessingTimes(times map[string]time.Duration, now cherrykeel.Instant) map[string]time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	unsent := map[string]time.Duration{}
	for id, processingTime := range times {
		sent := mesh.sentProcessingTimes[id]
		change := (processingTime - sent.processingTime).Abs()
		if now.Sub(sent.sentAt) < processingTimeInterval && float64(change) < processingTimeChange*float64(sent.processingTime) {
			continue
		}
		unsent[id] = processingTime
		mesh.sentProcessingTimes[id] = sentProcessingTime{processingTime: processingTime, sentAt: now}
	}
	return unsent
}

// DemandInterval returns the interval at which ReportDemand must be called.
func DemandInterval() time.Duration {
	return demandInterval
}
