package keeper

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"cherrykeel"
	"cherrykeel/fold"
	"cherrykeel/lease"
)

const (
	maxWitnesses = 5
	// bidStep is the time between the claims of hosts that follow one another in rank.
	bidStep = 80 * time.Millisecond
	// bidAgain is how long a host waits for the outcome of its claim.
	bidAgain = time.Second
	// silenceShare is the share of a lease after which a keeper that asks nothing is suspected.
	silenceShare = 0.4
	// voteAge is how long another witness's word on the keeper's silence counts.
	voteAge = 500 * time.Millisecond
	// listPatience is how long a keeper must be off the list before that alone makes others claim.
	listPatience = 3 * time.Second
)

// bidder decides when a host claims a service's term.
type bidder struct {
	self      string
	service   string
	votes     map[string]cherrykeel.Instant
	goneSince cherrykeel.Instant
	offSince  cherrykeel.Instant
	bidAt     cherrykeel.Instant
	askedAt   cherrykeel.Instant
}

// decide returns a claim if this host should take the role now.
func (bidder *bidder) decide(input Input, witness *lease.Witness, actions *Actions) {
	vacant, silent := bidder.vacant(input, witness, actions)
	if !vacant {
		bidder.goneSince = 0
		return
	}
	if bidder.goneSince == 0 {
		bidder.goneSince = input.Now
	}
	rank := bidder.rank(input, silent)
	waited := input.Now.Sub(bidder.goneSince)
	recent := bidder.bidAt != 0 && input.Now.Sub(bidder.bidAt) < bidAgain
	if input.Leaving || rank < 0 || recent || waited < time.Duration(rank)*bidStep {
		return
	}
	bidder.bidAt = input.Now
	actions.Claim = bidder.claim(input)
}

func (bidder *bidder) claim(input Input) *fold.Claim {
	return &fold.Claim{
		Service:     bidder.service,
		Term:        input.Block.Term,
		LeaseLength: input.Service.LeaseLength,
		Timeout:     timeoutOf(input.Service),
		Witnesses:   ChooseWitnesses(bidder.service, bidder.self, input.Hosts),
	}
}

// vacant reports whether the service needs another keeper, and whether only its witnesses know.
func (bidder *bidder) vacant(input Input, witness *lease.Witness, actions *Actions) (vacant, silent bool) {
	block := input.Block
	if block.Term == 0 {
		return true, false
	}
	if block.Keeper == bidder.self {
		// A process that was started anew under its old name does not know what leases it gave.
		return input.ClaimedTerm != block.Term, false
	}
	if bidder.listed(input) {
		return true, false
	}
	silent = bidder.silent(input, witness, actions)
	return silent, silent
}

// listed reports whether the platform's list shows the keeper as leaving, or has not shown it for long.
func (bidder *bidder) listed(input Input) bool {
	for _, host := range input.Hosts {
		if host.Name == input.Block.Keeper {
			bidder.offSince = 0
			return host.Leaving
		}
	}
	if bidder.offSince == 0 {
		bidder.offSince = input.Now
	}
	return input.Now.Sub(bidder.offSince) >= listPatience
}

// silent reports whether a majority of the keeper's witnesses have not been asked for a while.
// The view of one host moves nothing: it may itself be the one that is cut off.
func (bidder *bidder) silent(input Input, witness *lease.Witness, actions *Actions) bool {
	limit := time.Duration(silenceShare * float64(input.Block.LeaseLength))
	named := false
	for _, name := range input.Block.Witnesses {
		named = named || name == bidder.self
	}
	if !named || input.Now.Sub(witness.LastRequestAt(bidder.service)) < limit {
		return false
	}
	votes := 1
	for _, name := range input.Block.Witnesses {
		at, voted := bidder.votes[name]
		if name != bidder.self && voted && input.Now.Sub(at) < voteAge {
			votes++
		}
	}
	if input.Now.Sub(bidder.askedAt) >= bidStep {
		bidder.askedAt = input.Now
		actions.RequestSilence = without(input.Block.Witnesses, bidder.self)
	}
	return 2*votes > len(input.Block.Witnesses)
}

// heardSilence records what another witness says of the keeper's silence.
func (bidder *bidder) heardSilence(host string, silence, leaseLength time.Duration, now cherrykeel.Instant) {
	delete(bidder.votes, host)
	if silence >= time.Duration(silenceShare*float64(leaseLength)) {
		bidder.votes[host] = now
	}
}

// rank returns this host's place among those that may claim, or -1: among the witnesses
// where only they know that the keeper is silent, else among all hosts.
func (bidder *bidder) rank(input Input, silent bool) int {
	witnesses := map[string]bool{}
	for _, name := range input.Block.Witnesses {
		witnesses[name] = true
	}
	var names []string
	for _, host := range input.Hosts {
		knows := !silent || witnesses[host.Name]
		if knows && !host.Leaving && host.Name != input.Block.Keeper || host.Name == bidder.self {
			names = append(names, host.Name)
		}
	}
	for i, name := range RankByHash(bidder.service, names) {
		if name == bidder.self {
			return i
		}
	}
	return -1
}

// RankByHash orders names by a hash of the service and the name, so that services spread over hosts.
func RankByHash(service string, names []string) []string {
	ranked := append([]string(nil), names...)
	sort.Slice(ranked, func(i, j int) bool {
		one, other := xxhash.Sum64String(service+" "+ranked[i]), xxhash.Sum64String(service+" "+ranked[j])
		if one != other {
			return one < other
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

// ChooseWitnesses names an odd number of hosts, at most five, spread over availability zones, the keeper among them.
func ChooseWitnesses(service, self string, hosts []Host) []string {
	zones := map[string]string{}
	names := []string{}
	for _, host := range hosts {
		zones[host.Name] = host.Zone
		if !host.Leaving && host.Name != self {
			names = append(names, host.Name)
		}
	}
	chosen := []string{self}
	used := map[string]int{zones[self]: 1}
	rest := RankByHash(service, names)
	for len(chosen) < maxWitnesses && len(rest) > 0 {
		best := 0
		for i, name := range rest {
			if used[zones[name]] < used[zones[rest[best]]] {
				best = i
			}
		}
		chosen = append(chosen, rest[best])
		used[zones[rest[best]]]++
		rest = append(rest[:best:best], rest[best+1:]...)
	}
	if len(chosen)%2 == 0 {
		chosen = chosen[:len(chosen)-1]
	}
	return chosen
}

func without(names []string, left string) []string {
	var kept []string
	for _, name := range names {
		if name != left {
			kept = append(kept, name)
		}
	}
	return kept
}
