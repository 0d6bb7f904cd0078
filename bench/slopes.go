package bench

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/fold"
	"cherrykeel/keeper"
	"cherrykeel/lease"
	"cherrykeel/member"
	"cherrykeel/place"
	"cherrykeel/route"
	"cherrykeel/tree"
	"cherrykeel/wire"
)

// SlopeRow is one result at one size. Three or more sizes show how the result grows.
type SlopeRow struct {
	// What is the quantity.
	What string
	// Of is what the size counts, such as entry hosts.
	Of string
	// At is the size.
	At int
	// Value is the result, in Unit.
	Value float64
	// Unit is the unit of Value.
	Unit string
}

const (
	// slopePartitions is the number of partitions per service, except where partitions are the size.
	slopePartitions = 1024
	// slopeUpstreams is the number of upstreams per service.
	slopeUpstreams = 10
	// servicesPerTeam is the number of services per team.
	servicesPerTeam = 8
	// rounds is the number of repetitions of a short timed call; a keeper's ticks take five times as many.
	rounds = 200
)

// Slopes measures how state, messages and CPU time grow with the numbers of keyed services, partitions and entry hosts.
func Slopes() ([]SlopeRow, error) {
	var rows []SlopeRow
	for _, services := range []int{50, 200, 800} {
		found, err := stateSlope(services)
		if err != nil {
			return nil, err
		}
		rows = append(rows, found...)
	}
	for _, partitions := range []int{256, 1024, 4096} {
		found, err := keeperSlope(partitions)
		if err != nil {
			return nil, err
		}
		rows = append(rows, found...)
	}
	for _, hosts := range []int{10, 100, 1000} {
		rows = append(rows, hostsSlope(hosts)...)
	}
	return rows, nil
}

// heapInUse returns the size of allocated heap objects after a garbage collection, in bytes.
func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// perCall returns the mean duration of a call, in microseconds.
func perCall(calls int, call func(number int)) float64 {
	begun := time.Now()
	for number := range calls {
		call(number)
	}
	return float64(time.Since(begun).Microseconds()) / float64(calls)
}

// slopeEdits returns the settings of the given number of keyed services and of their teams.
func slopeEdits(services int) []tree.Edit {
	edits := []tree.Edit{{Path: "", Fields: map[string]any{"Timeout": "5s"}}}
	for service := range services {
		team := fmt.Sprintf("team-%d", service/servicesPerTeam)
		if service%servicesPerTeam == 0 {
			edits = append(edits, tree.Edit{Path: team, Fields: map[string]any{"Domains": []any{team + ".example"}}})
		}
		var servers []any
		for upstream := range slopeUpstreams {
			name := fmt.Sprintf("up-%d-%d", service, upstream)
			servers = append(servers, map[string]any{"Name": name, "Address": "127.0.0.1:7000", "Zone": fmt.Sprintf("zone-%d", upstream%4)})
		}
		fields := map[string]any{"PathPrefix": fmt.Sprintf("/s%d", service), "Keyed": true, "KeyFrom": "path:1", "Upstreams": servers}
		edits = append(edits, tree.Edit{Path: fmt.Sprintf("%s/s%d", team, service), Fields: fields})
	}
	return edits
}

// slopeCandidates returns the upstreams of a service, spread over four availability zones.
func slopeCandidates() []cherrykeel.Candidate {
	var candidates []cherrykeel.Candidate
	for upstream := range slopeUpstreams {
		candidates = append(candidates, cherrykeel.Candidate{Name: fmt.Sprintf("up-%d", upstream), Zone: fmt.Sprintf("zone-%d", upstream%4)})
	}
	return candidates
}

// stateSlope measures the size of the fold and the cost of a change of settings with a number of keyed services.
func stateSlope(services int) ([]SlopeRow, error) {
	before := heapInUse()
	state := fold.NewState()
	offset := int64(0)
	apply := func(record fold.Record) error {
		record.Format = fold.Format
		data, err := fold.Encode(record)
		if err != nil {
			return err
		}
		_, err = state.Apply(offset, data)
		offset++
		return err
	}
	edits := slopeEdits(services)
	err := apply(fold.Record{ID: "tree", Change: &fold.Change{Edits: edits}})
	placement := place.New().Place(cherrykeel.Placement{}, slopePartitions, slopeCandidates(), cherrykeel.Demand{}, slopePartitions)
	for service := range services {
		path := fmt.Sprintf("team-%d/s%d", service/servicesPerTeam, service)
		if err == nil {
			err = apply(fold.Record{ID: "claim", Author: "host", Claim: &fold.Claim{Service: path, Witnesses: []string{"a", "b", "c", "d", "e"}}})
		}
		assign := fold.DiffPlacements(path, cherrykeel.Placement{}, placement)
		assign.Term = state.Ownership[path].Term
		if err == nil {
			err = apply(fold.Record{ID: "assign", Assign: &assign})
		}
	}
	if err != nil {
		return nil, err
	}
	used := heapInUse() - before
	snapshot, err := state.Snapshot()
	if err != nil {
		return nil, err
	}
	change := fold.Record{Format: fold.Format, ID: "one", Change: &fold.Change{Edits: edits[2:3]}}
	data, err := fold.Encode(change)
	if err != nil {
		return nil, err
	}
	folded := perCall(rounds, func(number int) {
		next := state.Clone()
		_, _ = next.Apply(offset+int64(number), data)
	})
	resolved := perCall(3, func(int) {
		found, resolveErr := tree.Services(state.Nodes)
		if resolveErr != nil {
			err = resolveErr
		}
		route.NewTable(found)
	})
	runtime.KeepAlive(state)
	const of = "keyed services"
	return []SlopeRow{
		{"state of the fold in memory", of, services, used / 1024, "KiB"},
		{"checkpoint record", of, services, float64(len(snapshot.State)) / 1024, "KiB"},
		{"a change's record", of, services, float64(len(data)), "bytes"},
		{"folding one change", of, services, folded, "us"},
		{"taking settings into force", of, services, resolved, "us"},
	}, errors.WithStack(err)
}

// keeperSlope measures the CPU time and the messages of a keeper whose service has a number of partitions.
func keeperSlope(partitions int) ([]SlopeRow, error) {
	service := &cherrykeel.Service{Path: "a/b", Keyed: true, Partitions: partitions, ChecksFences: true, LeaseLength: 900 * time.Millisecond}
	for _, candidate := range slopeCandidates() {
		service.Upstreams = append(service.Upstreams, cherrykeel.UpstreamServer{Name: candidate.Name, Zone: candidate.Zone})
	}
	witness := lease.NewWitness(0)
	witness.RecordCaughtUp(0)
	serviceKeeper := keeper.New("host", "a/b", witness, place.New())
	placement := place.New().Place(cherrykeel.Placement{}, partitions, slopeCandidates(), cherrykeel.Demand{}, partitions)
	ownership := fold.ServiceOwnership{Term: 1, Keeper: "host", Witnesses: []string{"host"}, Sequence: 1, LeaseLength: 900 * time.Millisecond, Placement: placement}
	now := cherrykeel.Instant(time.Second)
	grants, grantBytes, largest := 0, 0, 0
	tick := func(int) {
		now = now.Add(20 * time.Millisecond)
		actions := serviceKeeper.Tick(keeper.Input{Now: now, Ownership: ownership, Service: service, Hosts: []keeper.Host{{Name: "host"}}, ClaimedTerm: 1})
		for _, name := range actions.RequestConfirmation {
			serviceKeeper.RecordConfirmation(name, 1, now)
		}
		for _, order := range actions.Orders {
			data, _ := json.Marshal(order.Grant)
			grants++
			grantBytes += len(data)
			largest = max(largest, len(data))
			serviceKeeper.RecordAnswer(order, acceptingAnswer(order, placement, now), now)
		}
	}
	perCall(rounds, tick)
	grants, grantBytes = 0, 0
	cost := perCall(5*rounds, tick)
	placed := perCall(20, func(int) {
		place.New().Place(placement, partitions, slopeCandidates(), cherrykeel.Demand{}, 32)
	})
	const of = "partitions"
	seconds := (time.Duration(5*rounds) * 20 * time.Millisecond).Seconds()
	return []SlopeRow{
		{"keeper's tick, 50 a second, answers included", of, partitions, cost, "us"},
		{"renewals of 10 upstreams", of, partitions, float64(grants) / seconds, "a second"},
		{"bytes of renewals", of, partitions, float64(grantBytes) / seconds, "bytes a second"},
		{"largest grant", of, partitions, float64(largest), "bytes"},
		{"a round of placement", of, partitions, placed, "us"},
	}, nil
}

// acceptingAnswer returns an upstream's answer to an order. It accepts a grant, and to a query it only reports what it
// holds.
func acceptingAnswer(order lease.Order, placement cherrykeel.Placement, now cherrykeel.Instant) cherrykeel.Holding {
	holding := cherrykeel.Holding{Incarnation: "boot", Now: now.Sub(0), Accepted: !order.Query, Fence: order.Grant.Fence, Until: order.Grant.Until}
	for partition, owner := range placement.Owners {
		if owner == order.Lessee {
			holding.Partitions = append(holding.Partitions, partition)
		}
	}
	return holding
}

// hostsSlope measures the cost of the platform's list and of hellos with a number of entry hosts.
func hostsSlope(hosts int) []SlopeRow {
	var members []cherrykeel.Member
	var names []string
	for number := range hosts {
		name := fmt.Sprintf("entry-%04d", number)
		names = append(names, name)
		members = append(members, cherrykeel.Member{Name: name, Role: cherrykeel.RoleEntry, Zone: "zone-1", Address: "127.0.0.1:8080", InternalAddress: "127.0.0.1:8082", AdminAddress: "127.0.0.1:8081"})
	}
	list, _ := json.Marshal(members)
	roster := member.NewRoster(members[0])
	read := perCall(20, func(number int) {
		roster.ApplyList(members, cherrykeel.Instant(number))
		roster.Peers()
	})
	hello, _ := json.Marshal(wire.Hello{Host: names[0], Zone: "zone-1", Next: 1 << 40, Chain: 1 << 60, Version: 1 << 40, LogUp: true})
	neighbours := member.Neighbours(names[0], names)
	ring := perCall(20, func(int) { member.Neighbours(names[0], names) })
	const of = "entry hosts"
	return []SlopeRow{
		{"the platform's list, read whole", of, hosts, float64(len(list)) / 1024, "KiB"},
		{"taking in the list", of, hosts, read, "us"},
		{"finding neighbours", of, hosts, ring, "us"},
		{"hellos sent", of, hosts, float64(len(neighbours)), "a second"},
		{"bytes of hellos sent", of, hosts, float64(len(neighbours) * len(hello)), "bytes a second"},
	}
}
