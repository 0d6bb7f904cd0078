package fakes

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"cherrykeel"
)

// HostsFaults are the faults of the list stand-in.
type HostsFaults struct {
	Outage bool
	// Lag is how long the list takes to show a change.
	Lag time.Duration
}

type entryVersion struct {
	member    cherrykeel.Member
	visibleAt time.Time
}

// Hosts is the stand-in of the platform's lagging list.
type Hosts struct {
	mutex    sync.Mutex
	listings map[string][]entryVersion
	faults   HostsFaults
	mux      *http.ServeMux
}

// NewHosts returns an empty list.
func NewHosts() *Hosts {
	hosts := &Hosts{listings: map[string][]entryVersion{}, mux: http.NewServeMux()}
	hosts.mux.HandleFunc("GET /members", hosts.list)
	hosts.mux.HandleFunc("PUT /members/{name}", hosts.update)
	hosts.mux.HandleFunc("DELETE /members/{name}", hosts.remove)
	hosts.mux.HandleFunc("POST /faults", func(writer http.ResponseWriter, request *http.Request) {
		var faults HostsFaults
		if readJSON(writer, request, &faults) {
			hosts.SetFaults(faults)
			writeJSON(writer, faults)
		}
	})
	return hosts
}

// ServeHTTP implements http.Handler.
func (hosts *Hosts) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	hosts.mux.ServeHTTP(writer, request)
}

// SetFaults replaces the faults.
func (hosts *Hosts) SetFaults(faults HostsFaults) {
	hosts.mutex.Lock()
	defer hosts.mutex.Unlock()
	hosts.faults = faults
}

func (hosts *Hosts) list(writer http.ResponseWriter, _ *http.Request) {
	hosts.mutex.Lock()
	defer hosts.mutex.Unlock()
	if hosts.faults.Outage {
		http.Error(writer, "outage", http.StatusServiceUnavailable)
		return
	}
	members := []cherrykeel.Member{}
	for _, history := range hosts.listings {
		if member, seen := latest(history, time.Now()); seen && member.Name != "" {
			members = append(members, member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	writeJSON(writer, members)
}

func latest(history []entryVersion, now time.Time) (cherrykeel.Member, bool) {
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].visibleAt.After(now) {
			return history[i].member, true
		}
	}
	return cherrykeel.Member{}, false
}

func (hosts *Hosts) update(writer http.ResponseWriter, request *http.Request) {
	var member cherrykeel.Member
	if readJSON(writer, request, &member) {
		hosts.change(writer, request.PathValue("name"), member)
	}
}

func (hosts *Hosts) remove(writer http.ResponseWriter, request *http.Request) {
	hosts.change(writer, request.PathValue("name"), cherrykeel.Member{})
}

func (hosts *Hosts) change(writer http.ResponseWriter, name string, member cherrykeel.Member) {
	hosts.mutex.Lock()
	defer hosts.mutex.Unlock()
	if hosts.faults.Outage {
		http.Error(writer, "outage", http.StatusServiceUnavailable)
		return
	}
	now := time.Now()
	history := append(hosts.listings[name], entryVersion{member: member, visibleAt: now.Add(hosts.faults.Lag)})
	for len(history) > 1 && !history[1].visibleAt.After(now) {
		history = history[1:]
	}
	hosts.listings[name] = history
	writeJSON(writer, struct{}{})
}
