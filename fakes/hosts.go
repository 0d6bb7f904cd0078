package fakes

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"cherrykeel"
)

// HostsFaults are the faults that the stand-in of the hosts list can inject.
type HostsFaults struct {
	// Outage answers every read and change with 503.
	Outage bool
	// Lag is the time until a change appears in the list.
	Lag time.Duration
}

// entryVersion is a member's entry after one change; a removed member has an empty entry.
type entryVersion struct {
	member    cherrykeel.Member
	visibleAt time.Time
}

// Hosts is the stand-in of the platform's list of hosts, which shows changes with a delay.
type Hosts struct {
	mutex sync.Mutex
	// listings has each member's latest visible version and all later ones, oldest first.
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

// ServeHTTP serves the list, its changes and its faults, and implements http.Handler.
func (hosts *Hosts) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	hosts.mux.ServeHTTP(writer, request)
}

// SetFaults replaces all faults. A changed lag applies to later changes of the list.
func (hosts *Hosts) SetFaults(faults HostsFaults) {
	hosts.mutex.Lock()
	defer hosts.mutex.Unlock()
	hosts.faults = faults
}

// list answers with the visible members, ordered by name.
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

// latest returns the newest version that is visible at now; false means that none is.
func latest(history []entryVersion, now time.Time) (cherrykeel.Member, bool) {
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].visibleAt.After(now) {
			return history[i].member, true
		}
	}
	return cherrykeel.Member{}, false
}

// update handles a request that adds or replaces a member.
func (hosts *Hosts) update(writer http.ResponseWriter, request *http.Request) {
	var member cherrykeel.Member
	if readJSON(writer, request, &member) {
		hosts.change(writer, request.PathValue("name"), member)
	}
}

// remove handles a request that removes a member.
func (hosts *Hosts) remove(writer http.ResponseWriter, request *http.Request) {
	hosts.change(writer, request.PathValue("name"), cherrykeel.Member{})
}

// change appends a version to the member's history and drops the versions that a visible one has replaced.
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
