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
	// maxWitnesses limits the witnesses of a keeper.
	maxWitnesses = 5
	// claimDelayPerRank is the time between the claims of hosts with consecutive ranks, and between a witness's requests
	// for the other witnesses' reports of the keeper's silence.
	claimDelayPerRank = 80 * time.Millisecond
	// claimRetryAfter is how long a host waits for the outcome of its claim before it claims again.
	claimRetryAfter = time.Second
	// silenceShare is the share of the lease duration without a request from the keeper after which a witness
	// suspects it.
	silenceShare = 0.4
	// maxReportAge is how long another witness's report of the keeper's silence counts.
	maxReportAge = 500 * time.Millisecond
	// unlistedTimeout is how long a keeper must be missing from the platform's list before other hosts claim for that
	// reason alone. It is also the least time between two claims that a keeper makes
	// during its own term.
	unlistedTimeout = 3 * time.Second
)

// claimer decides when a host claims the keeper's role for a service.
type claimer struct {
	self           string
	service        string
	silenceReports map[string]cherrykeel.Instant
	vacantSince    cherrykeel.Instant
	unlistedSince  cherrykeel.Instant
	claimedAt      cherrykeel.Instant
	requestedAt    cherrykeel.Instant
}

// decide adds a claim to the actions if this host should take the role now.
func (claimer *claimer) decide(input Input, witness *lease.Witness, actions *Actions) {
	isVacant, silent := claimer.vacancy(input, witness, actions)
	if !isVacant {
		claimer.vacantSince = 0
		return
	}
	if claimer.vacantSince == 0 {
		claimer.vacantSince = input.Now
	}
	rank := claimer.rank(input, silent)
	waited := input.Now.Sub(claimer.vacantSince)
	recent := claimer.claimedAt != 0 && input.Now.Sub(claimer.claimedAt) < claimRetryAfter
	if input.Leaving || rank < 0 || recent || waited < time.Duration(rank)*claimDelayPerRank {
		return
	}
	claimer.claimedAt = input.Now
	actions.Claim = claimer.claim(input)
}

func (claimer *claimer) claim(input Input) *fold.Claim {
	return &fold.Claim{
		Service:     claimer.service,
		Term:        input.Ownership.Term,
		LeaseLength: input.Service.LeaseLength,
		Timeout:     configuredTimeout(input.Service),
		Witnesses:   ChooseWitnesses(claimer.service, claimer.self, input.Hosts),
	}
}

// vacancy reports whether the service needs another keeper, and whether the only sign of that is the current keeper's
// silence, which only its witnesses can observe.
func (claimer *claimer) vacancy(input Input, witness *lease.Witness, actions *Actions) (vacant, silent bool) {
	ownership := input.Ownership
	if ownership.Term == 0 {
		return true, false
	}
	if ownership.Keeper == claimer.self {
		// A restarted process does not know which leases the previous process of its host has granted.
		return input.ClaimedTerm != ownership.Term, false
	}
	if claimer.hasKeeperLeft(input) {
		return true, false
	}
	silent = claimer.isKeeperSilent(input, witness, actions)
	return silent, silent
}

// hasKeeperLeft reports whether the platform's list shows the keeper as leaving, or has not contained it for
// unlistedTimeout.
func (claimer *claimer) hasKeeperLeft(input Input) bool {
	for _, host := range input.Hosts {
		if host.Name == input.Ownership.Keeper {
			claimer.unlistedSince = 0
			return host.Leaving
		}
	}
	if claimer.unlistedSince == 0 {
		claimer.unlistedSince = input.Now
	}
	return input.Now.Sub(claimer.unlistedSince) >= unlistedTimeout
}

// isKeeperSilent reports whether a majority of the keeper's witnesses have not received a request from it for a
// while. The view of a single host is not enough: it may itself be the unreachable one.
func (claimer *claimer) isKeeperSilent(input Input, witness *lease.Witness, actions *Actions) bool {
	limit := time.Duration(silenceShare * float64(input.Ownership.LeaseLength))
	isWitness := false
	for _, name := range input.Ownership.Witnesses {
		isWitness = isWitness || name == claimer.self
	}
	if !isWitness || input.Now.Sub(witness.LastRequestAt(claimer.service)) < limit {
		return false
	}
	count := 1
	for _, name := range input.Ownership.Witnesses {
		reportedAt, reported := claimer.silenceReports[name]
		if name != claimer.self && reported && input.Now.Sub(reportedAt) < maxReportAge {
			count++
		}
	}
	if input.Now.Sub(claimer.requestedAt) >= claimDelayPerRank {
		claimer.requestedAt = input.Now
		actions.RequestSilence = exclude(input.Ownership.Witnesses, claimer.self)
	}
	return 2*count > len(input.Ownership.Witnesses)
}

// recordSilence records how long another witness has not received a request from the keeper.
func (claimer *claimer) recordSilence(host string, silence, leaseLength time.Duration, now cherrykeel.Instant) {
	delete(claimer.silenceReports, host)
	if silence >= time.Duration(silenceShare*float64(leaseLength)) {
		claimer.silenceReports[host] = now
	}
}

// rank returns this host's position among the hosts that may claim, or -1: among the witnesses if only they can observe
// that the keeper is silent, and otherwise among all hosts.
func (claimer *claimer) rank(input Input, silent bool) int {
	witnesses := map[string]bool{}
	for _, name := range input.Ownership.Witnesses {
		witnesses[name] = true
	}
	var names []string
	for _, host := range input.Hosts {
		mayClaim := !silent || witnesses[host.Name]
		if mayClaim && !host.Leaving && host.Name != input.Ownership.Keeper || host.Name == claimer.self {
			names = append(names, host.Name)
		}
	}
	for i, name := range RankByHash(claimer.service, names) {
		if name == claimer.self {
			return i
		}
	}
	return -1
}

// RankByHash sorts names by a hash of the service and the name, so that the keepers of services are spread over
// hosts.
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

// ChooseWitnesses returns the witnesses of a keeper: an odd number of hosts, at most five, spread over availability
// zones and including the keeper itself.
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

// exclude returns the names without one of them.
func exclude(names []string, excluded string) []string {
	var kept []string
	for _, name := range names {
		if name != excluded {
			kept = append(kept, name)
		}
	}
	return kept
}
