package relay

import (
	"time"

	"cherrykeel"
)

// The platform bounds the retries of all hosts in any window by a share of the requests and by the slack, and counts the
// requests of that window or of the one before it. In any window, a host spends at most the balance that it began with
// and what it earned since. The balance is at most reserveShare of the requests of the window before, and earnShare of
// the window's own requests are earned: together less than the platform's share, whatever the hosts do and however often
// they start again. The slack is divided the same way, with a part for two starts of each host in a window.
const (
	// earnShare is the share of the platform's ratio that each request earns.
	earnShare = 0.65
	// reserveShare is the share of the platform's ratio of the last window's requests that a host may have unspent.
	reserveShare = 0.25
	// slackEarnShare is the share of a host's part of the slack that it earns in each window, slackReserveShare the share
	// that it may have unspent, and slackStartShare the share that it has at its start.
	slackEarnShare    = 0.2
	slackReserveShare = 0.3
	slackStartShare   = 0.25
	// minBudgetHosts is the least number of hosts that the slack is divided by: up to so many hosts keep the budget though
	// each knows only itself.
	minBudgetHosts = 12
)

// budget is one service's retry budget on this host.
type budget struct {
	bounds   func() cherrykeel.Bounds
	requests requestWindow
	retries  requestWindow
	balance  float64
	// updatedAt is up to when the balance has earned its part of the slack, from the first use on.
	updatedAt  cherrykeel.Instant
	hasStarted bool
	hosts      hostDivisor
	// declinedAt is when the first retry of a window was declined; hasDeclined is set from the first one on.
	declinedAt  cherrykeel.Instant
	hasDeclined bool
}

// newBudget returns a budget within the bounds, which are read at each use.
func newBudget(bounds func() cherrykeel.Bounds) *budget {
	return &budget{bounds: bounds, hosts: hostDivisor{count: minBudgetHosts}}
}

// recordRequest counts a caller's request, which earns a share of a retry.
func (budget *budget) recordRequest(now cherrykeel.Instant) {
	bounds := budget.bounds()
	budget.requests.record(now, bounds.RetryWindow)
	budget.update(bounds, earnShare*bounds.RetryRatio, now)
}

// trySpend takes one retry from the balance if that has one, and reports whether it has. Hosts is how many hosts this
// one knows.
func (budget *budget) trySpend(hosts int, now cherrykeel.Instant) bool {
	bounds := budget.bounds()
	budget.hosts.record(hosts, now, bounds.RetryWindow)
	budget.update(bounds, 0, now)
	if budget.balance < 1 {
		return false
	}
	budget.balance--
	budget.retries.record(now, bounds.RetryWindow)
	return true
}

// startsDeclining reports whether no retry was declined for a window, and records that one is now.
func (budget *budget) startsDeclining(now cherrykeel.Instant) bool {
	if budget.hasDeclined && now.Sub(budget.declinedAt) < budget.bounds().RetryWindow {
		return false
	}
	budget.hasDeclined = true
	budget.declinedAt = now
	return true
}

// budgetUsage is what a host has spent of its retry budget of a service within the last window, and what it has left.
type budgetUsage struct {
	requests float64
	retries  float64
	balance  float64
	// hosts is the number of hosts that this one divides the slack by.
	hosts int
}

func (budget *budget) usage(now cherrykeel.Instant) budgetUsage {
	bounds := budget.bounds()
	budget.update(bounds, 0, now)
	return budgetUsage{
		requests: budget.requests.sum(now, bounds.RetryWindow), retries: budget.retries.sum(now, bounds.RetryWindow),
		balance: budget.balance, hosts: budget.hosts.count,
	}
}

// update adds to the balance what was earned since the last update, and cuts it to what may be unspent.
func (budget *budget) update(bounds cherrykeel.Bounds, earned float64, now cherrykeel.Instant) {
	slack := bounds.RetrySlack / float64(budget.hosts.count)
	if !budget.hasStarted {
		budget.hasStarted = true
		budget.updatedAt = now
		budget.balance = slackStartShare * slack
	}
	windows := float64(max(0, now.Sub(budget.updatedAt))) / float64(max(1, bounds.RetryWindow))
	budget.updatedAt = max(budget.updatedAt, now)
	reserve := reserveShare*bounds.RetryRatio*budget.requests.sum(now, bounds.RetryWindow) + slackReserveShare*slack
	budget.balance = min(budget.balance+earned+windows*slackEarnShare*slack, reserve)
}

// hostDivisor is the number of hosts that share the slack. It grows at once and falls only after a window: records of
// hosts that go on retrying may be missing for a while.
type hostDivisor struct {
	count int
	// fewerSince is since when fewer hosts have been known, of which fewerMost is the most; isFewer is set meanwhile.
	fewerSince cherrykeel.Instant
	fewerMost  int
	isFewer    bool
}

func (divisor *hostDivisor) record(hosts int, now cherrykeel.Instant, window time.Duration) {
	hosts = max(hosts, minBudgetHosts)
	if hosts >= divisor.count {
		divisor.count = hosts
		divisor.isFewer = false
		return
	}
	if !divisor.isFewer {
		divisor.isFewer = true
		divisor.fewerSince = now
		divisor.fewerMost = hosts
	}
	divisor.fewerMost = max(divisor.fewerMost, hosts)
	if now.Sub(divisor.fewerSince) >= window {
		divisor.count = divisor.fewerMost
		divisor.isFewer = false
	}
}

// windowBuckets divides the window; requests that are older than it are dropped one bucket at a time.
const windowBuckets = 20

// requestWindow counts the requests of the last window.
type requestWindow struct {
	buckets [windowBuckets]float64
	width   time.Duration
	current int64
}

func (window *requestWindow) record(now cherrykeel.Instant, length time.Duration) {
	window.advance(now, length)
	window.buckets[window.current%windowBuckets]++
}

// sum returns at most the requests of the last window.
func (window *requestWindow) sum(now cherrykeel.Instant, length time.Duration) float64 {
	window.advance(now, length)
	sum := 0.0
	for _, count := range window.buckets {
		sum += count
	}
	return sum
}

// advance drops the buckets that are out of the window, and all when the window's length changes, since they are numbered
// by it.
func (window *requestWindow) advance(now cherrykeel.Instant, length time.Duration) {
	width := max(1, length/windowBuckets)
	if width != window.width {
		*window = requestWindow{width: width, current: int64(now) / int64(width)}
	}
	number := int64(now) / int64(width)
	for window.current < number {
		window.current = max(window.current+1, number-windowBuckets)
		window.buckets[window.current%windowBuckets] = 0
	}
}
