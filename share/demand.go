package share

import (
	"time"

	"cherrykeel"
)

const (
	// demandEvery is the pace at which keys are told to the keeper.
	demandInterval = 100 * time.Millisecond
	// demandSlowdown is by how much the pace is slower once not every host tells every other: most of 72
	// hosts have no more than one key to tell in that time.
	demandSlowdown = 3
	// workEvery is when an upstream's work time is told again though it is the same: the keeper believes a
	// word for 3 s, and messages are lost. A change by workChange is told with the next keys.
	processingTimeInterval = time.Second
	processingTimeChange   = 0.1
	// maxKeys bounds the keys of one message; what is beyond it is not counted.
	maxDemandKeys = 4000
)

// RecordKeyRequest notes that a key was asked for, to be told to the keeper.
func (mesh *Mesh) RecordKeyRequest(service string, key int) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if len(mesh.requestedKeys[service]) < maxDemandKeys {
		mesh.requestedKeys[service] = append(mesh.requestedKeys[service], key)
	}
}

// ReportDemand sends the keys asked for since the last time to the keeper, which may be this host, with what
// work tells of a service's upstreams. With many hosts it waits for some more keys.
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

// toldWork is what the keeper was told of an upstream.
type sentProcessingTime struct {
	processingTime time.Duration
	sentAt         cherrykeel.Instant
}

// news keeps of the work times those that the keeper does not know yet, or might have missed. All of them,
// for 130 upstreams, were 3 KB in each message.
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

// DemandInterval is the pace at which TellDemand is to be called.
func DemandInterval() time.Duration {
	return demandInterval
}
