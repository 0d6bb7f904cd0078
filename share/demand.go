package share

import (
	"time"

	"go.uber.org/zap"

	"cherrykeel/events"
)

const (
	// demandEvery is the pace at which keys are told to the keeper.
	demandEvery = 100 * time.Millisecond
	// maxKeys bounds the keys of one message; what is beyond it is not counted.
	maxKeys = 4000
)

// Asked notes that a key was asked for, to be told to the keeper.
func (mesh *Mesh) Asked(service string, key int) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if len(mesh.asked[service]) < maxKeys {
		mesh.asked[service] = append(mesh.asked[service], key)
	}
}

// TellDemand sends the keys asked for since the last call to the keeper, which may be this host, with what
// work tells of a service's upstreams.
func (mesh *Mesh) TellDemand(keeper string, work func(service string) map[string]time.Duration) {
	mesh.mutex.Lock()
	asked := mesh.asked
	mesh.asked = map[string][]int{}
	address := mesh.resolved[keeper]
	mesh.mutex.Unlock()
	for service, keys := range asked {
		demand := Demand{Host: mesh.self.Name, Service: service, Keys: keys, Work: work(service)}
		if keeper == mesh.self.Name {
			mesh.demand(demand)
			continue
		}
		if address == nil {
			continue
		}
		data, err := encode(methodDemand, demand)
		if err != nil {
			events.Log(mesh.logger, events.MessageInvalid, zap.Error(err))
			continue
		}
		_, _ = mesh.socket.WriteToUDP(data, address)
	}
}

// DemandEvery is the pace at which TellDemand is to be called.
func DemandEvery() time.Duration {
	return demandEvery
}
