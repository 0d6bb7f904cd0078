package host

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"cherrykeel/keeper"
	"cherrykeel/route"
)

// PeerStatus is another host as this one sees it.
type PeerStatus struct {
	Name    string
	Zone    string
	Leaving bool
	// Silence is how long ago the peer last spoke, negative if never.
	Silence time.Duration
	Version int64
	LogUp   bool
	// Differs says that the peer's fold differs from this host's.
	Differs bool
}

// ServiceStatus is a keyed service as this host sees it.
type ServiceStatus struct {
	Service   string
	Term      int64
	Keeper    string
	Witnesses []string
	Sequence  int64
	// Owned counts partitions by owner.
	Owned   map[string]int
	HotKeys map[string]string
	// Term state, on the keeper only.
	Report *keeper.Report `json:",omitempty"`
}

// Status is what a host tells operators.
type Status struct {
	Name     string
	Zone     string
	Ready    bool
	Reason   string
	Version  int64
	Next     int64
	Chain    uint64
	LogUp    bool
	Uptime   time.Duration
	InFlight int64
	Peers    []PeerStatus
	Services []ServiceStatus
}

// Ownership tells operators who owns a key.
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

// Status returns the host's condition.
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
