package host

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"cherrykeel/keeper"
	"cherrykeel/route"
)

// PeerStatus is the state of another entry host as this host sees it.
type PeerStatus struct {
	Name    string
	Zone    string
	Leaving bool
	// Silence is the time since the last message from the peer, negative if there was none.
	Silence time.Duration
	Version int64
	LogUp   bool
	// Differs reports that the peer folded the same records to another state than this host.
	Differs bool
}

// ServiceStatus is the state of a keyed service's ownership as this host sees it.
type ServiceStatus struct {
	Service   string
	Term      int64
	Keeper    string
	Witnesses []string
	Sequence  int64
	// Owned is the number of partitions by owner.
	Owned   map[string]int
	HotKeys map[string]string
	// Report is the state of the keeper's term, on the keeper only.
	Report *keeper.Report `json:",omitempty"`
}

// Status is a host's state as shown to operators.
type Status struct {
	Name  string
	Zone  string
	Ready bool
	// Reason is why the host is not ready, or empty.
	Reason string
	// Version is the version of the last accepted change of settings.
	Version int64
	// Next is the offset of the first log record that has not been folded yet, and Chain a hash over all earlier ones and
	// the verdicts on them.
	Next  int64
	Chain uint64
	// LogUp is false before the first read of the log, and if the last read failed because the log was unavailable.
	LogUp  bool
	Uptime time.Duration
	// InFlight is the number of callers' requests in flight.
	InFlight int64
	Peers    []PeerStatus
	Services []ServiceStatus
}

// Ownership is the owner of a key as shown to operators.
type Ownership struct {
	Service   string
	Key       string
	Partition int
	Owner     string
	Successor string
	Hot       bool
	Keeper    string
	Term      int64
}

func (host *Host) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("alive\n"))
	})
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		reason := host.UnreadyReason()
		if reason != "" {
			http.Error(writer, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = writer.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /status", func(writer http.ResponseWriter, _ *http.Request) {
		answerJSON(writer, host.Status())
	})
	mux.HandleFunc("GET /owner", host.serveOwner)
	mux.Handle("GET /metrics", host.metrics)
	return mux
}

func answerJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// Status returns the host's current state.
func (host *Host) Status() Status {
	status := host.follower.Status()
	reason := host.UnreadyReason()
	return Status{
		Name:     host.config.Name,
		Zone:     host.config.Zone,
		Ready:    reason == "",
		Reason:   reason,
		Version:  host.follower.State().Version,
		Next:     status.Next,
		Chain:    status.Chain,
		LogUp:    status.LogUp,
		Uptime:   time.Since(host.started),
		InFlight: host.requests.count.Load(),
		Peers:    host.peerStatus(),
		Services: host.coordinator.status(),
	}
}

func (host *Host) peerStatus() []PeerStatus {
	now := host.clock.Now()
	peers := []PeerStatus{}
	for _, peer := range host.roster.peers() {
		if peer.Name == host.config.Name {
			continue
		}
		silence := time.Duration(-1)
		if peer.ReceivedAt != 0 {
			silence = now.Sub(peer.ReceivedAt)
		}
		peers = append(peers, PeerStatus{
			Name:    peer.Name,
			Zone:    peer.Zone,
			Leaving: peer.Leaving,
			Silence: silence,
			Version: peer.Version,
			LogUp:   peer.LogAvailable,
			Differs: host.follower.HasDiverged(peer.Next, peer.Chain),
		})
	}
	return peers
}

func (coordinator *coordinator) status() []ServiceStatus {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	statuses := []ServiceStatus{}
	for path, serviceOwnership := range coordinator.state.Ownership {
		placement := coordinator.placement(path)
		status := ServiceStatus{
			Service:   path,
			Term:      serviceOwnership.Term,
			Keeper:    serviceOwnership.Keeper,
			Witnesses: serviceOwnership.Witnesses,
			Sequence:  serviceOwnership.Sequence,
			Owned:     map[string]int{},
			HotKeys:   placement.HotKeys,
		}
		for _, owner := range placement.Owners {
			status.Owned[owner]++
		}
		if report, holds := coordinator.keeper(path).Report(coordinator.host.clock.Now()); holds {
			status.Report = &report
		}
		statuses = append(statuses, status)
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Service < statuses[j].Service })
	return statuses
}

func (host *Host) serveOwner(writer http.ResponseWriter, request *http.Request) {
	path := request.URL.Query().Get("service")
	key := request.URL.Query().Get("key")
	table := host.table.Load()
	if table == nil || table.Services()[path] == nil {
		http.Error(writer, "no service "+path, http.StatusNotFound)
		return
	}
	service := table.Services()[path]
	if !service.Keyed {
		http.Error(writer, "the service "+path+" has no keys", http.StatusNotFound)
		return
	}
	answerJSON(writer, host.coordinator.ownership(path, key, route.Partition(key, service.Partitions)))
}

func (coordinator *coordinator) ownership(service, key string, partition int) Ownership {
	owner := coordinator.owner(service, partition, key)
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	placement := coordinator.placement(service)
	serviceOwnership := coordinator.state.Ownership[service]
	_, hot := placement.HotKeys[key]
	ownership := Ownership{Service: service, Key: key, Partition: partition, Owner: owner, Hot: hot, Keeper: serviceOwnership.Keeper, Term: serviceOwnership.Term}
	if partition < len(placement.Successors) {
		ownership.Successor = placement.Successors[partition]
	}
	return ownership
}
