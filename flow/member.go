package flow

import (
	"math"
	"time"

	"cherrykeel"
	"cherrykeel/cold"
)

const (
	// unknownWork is assumed of an upstream when no upstream of the service has answered yet.
	unknownWork = 80 * time.Millisecond
	// workWeight is the weight of the newest answer in the mean of an upstream's work time: with
	// some 3 answers a second from each upstream, an upstream that turns slow shows within 2 s.
	workWeight = 0.2
	// crowdedWeight is the weight of an answer that had to wait for a slot: how long it waited follows from
	// counts that are up to 80 ms old, and taken in full it makes a merely busy upstream look slow.
	crowdedWeight = 0.05
	// lateWeight is the weight of an answer that this host has read too late.
	lateWeight = 0.05
	// coldFactor is by how much an upstream is slower for some seconds after its start.
	coldFactor = 2
	// failureHalfLife is how fast failures are forgotten, so that an upstream that failed is tried
	// again: none is left without requests by what one host has seen seconds ago.
	failureHalfLife = 2 * time.Second
	// forgottenFailures is the count below which failures say nothing any more; three are forgotten after 7 s.
	forgottenFailures = 0.25
	// failureCost is the time by which a sure failure makes an upstream look slower.
	failureCost = 2 * time.Second
	// pauseAfterBreak is how long an upstream that could not be reached gets nothing.
	pauseAfterBreak = 300 * time.Millisecond
	maxPause        = 2 * time.Second
	// toldFor is how long what an upstream has told of its load with an answer is believed before the hosts' counts: these
	// are some 200 ms old.
	toldFor = 200 * time.Millisecond
	// slowMoment is by how much an upstream has to be slower, at this moment or in the mean, that a slot which it has told
	// to be free is no better than others.
	slowMoment = 1.5
)

// member is one upstream as this host sees it.
type member struct {
	upstream cherrykeel.Upstream
	// tryAt is when this host should have tried an upstream that joined; 0 once it has, and for those that
	// were there before.
	tryAt cherrykeel.Instant
	// own counts this host's requests there, others what the other hosts say of theirs.
	own    int
	others int
	// toldAt is when it last told its own load with an answer, and slowness how slow its machine was then.
	toldAt   cherrykeel.Instant
	slowness float64
	// otherWaiting counts the other hosts' requests that wait for this upstream alone.
	otherWaiting int
	// sent counts what this host sends while it is cold.
	sent cold.Window
	// turn is what this host drew among the hosts that wait, since the last counts.
	turn turn
	// standing is about the queue of the requests for its keys.
	standing standing
	// sentAt is when this host last sent it a request.
	sentAt cherrykeel.Instant
	// work is the mean time of one request in a slot; 0 while unknown.
	work time.Duration
	// failures is a decayed count, and so is answers.
	failures float64
	answers  float64
	decayed  cherrykeel.Instant
	// breaks counts attempts in a row that could not reach it.
	breaks      int
	pausedUntil cherrykeel.Instant
}

func (member *member) load() int {
	return member.own + member.others
}

// limit is how many requests may be there at once: its slots and a few in its own queue, so that a slot
// that becomes free is used at once, though other hosts learn of it some 80 ms later.
func (member *member) limit() int {
	return member.upstream.Slots + (member.upstream.Slots+2)/3
}

// rate is how many requests a second it can do.
func (member *member) rate(usual time.Duration, now cherrykeel.Instant) float64 {
	return float64(member.upstream.Slots) / member.workTime(usual, now).Seconds()
}

// closed reports whether nothing more is to be sent there, since its availability zone is evacuated.
func (member *member) closed(now cherrykeel.Instant) bool {
	return member.upstream.EvacuateAt != 0 && now >= member.upstream.EvacuateAt
}

// reachable reports whether it may be sent requests, if it has room for them.
func (member *member) reachable(now cherrykeel.Instant) bool {
	return now >= member.pausedUntil && !member.closed(now)
}

// count takes what the other hosts count there. What the upstream itself told is newer for some time.
func (member *member) count(running, waiting int, now cherrykeel.Instant) {
	if !member.toldLately(now) {
		member.others = running
	}
	member.otherWaiting = waiting
	member.turn = turn{}
}

// tell takes what the upstream told of its load with an answer, which is still in it.
func (member *member) tell(load cherrykeel.UpstreamLoad, now cherrykeel.Instant) {
	member.toldAt = now
	member.slowness = load.Slowness
	member.others = max(0, load.Running+load.Waiting-member.own-1)
}

// toldLately reports whether it told its load a moment ago.
func (member *member) toldLately(now cherrykeel.Instant) bool {
	return member.toldAt != 0 && now.Sub(member.toldAt) < toldFor
}

// toldFree reports whether it told a moment ago that it has a free slot, and works at about the service's pace.
func (member *member) toldFree(usual time.Duration, now cherrykeel.Instant) bool {
	if !member.toldLately(now) || member.load() >= member.upstream.Slots || member.failing(now) > 0 {
		return false
	}
	return member.slowness < slowMoment && member.workTime(usual, now) < time.Duration(slowMoment*float64(usual))
}

// takes reports whether a request may go there now.
func (member *member) takes(doubt *doubt, now cherrykeel.Instant) bool {
	if member.upstream.IsColdLimited(now) && !member.sent.Allows(member.upstream.ColdQuota, now) {
		return false
	}
	return member.reachable(now) && member.load() < member.limit()+doubt.room(member.upstream.Slots)
}

// workTime is the expected time of one request in a slot.
func (member *member) workTime(usual time.Duration, now cherrykeel.Instant) time.Duration {
	work := member.work
	if work == 0 {
		work = usual
	}
	if now < member.upstream.ColdUntil {
		work *= coldFactor
	}
	return work
}

// expected is how long a request that is sent now will take there.
func (member *member) expected(usual time.Duration, now cherrykeel.Instant) time.Duration {
	work := member.workTime(usual, now)
	crowd := float64(member.load()+1) / float64(member.upstream.Slots)
	return time.Duration(float64(work) * max(1, crowd))
}

// failing is the share of recent attempts that failed, from 0 to 1.
func (member *member) failing(now cherrykeel.Instant) float64 {
	member.decay(now)
	if member.failures < forgottenFailures {
		return 0
	}
	return member.failures / (member.answers + member.failures + 1)
}

func (member *member) decay(now cherrykeel.Instant) {
	factor := math.Exp2(-now.Sub(member.decayed).Seconds() / failureHalfLife.Seconds())
	member.decayed = now
	member.failures *= factor
	member.answers *= factor
}

// learn takes an answer's time into the mean. Load is the greater one of what was counted when the request was
// sent and what the upstream told with its answer: counts lag when many hosts send to one upstream at once,
// and a time that was spent in its queue, taken for work, made a key's owner look three times slower than it
// was, so that callers were refused that it could have served.
func (member *member) learn(took time.Duration, load int, weight float64) {
	crowd := max(1, float64(load)/float64(member.upstream.Slots))
	work := time.Duration(float64(took) / crowd)
	if member.work == 0 {
		member.work = work
		return
	}
	if load > member.upstream.Slots {
		weight = min(weight, crowdedWeight)
	}
	member.work += time.Duration(weight * float64(work-member.work))
}

// broke notes that the upstream could not be reached; it pauses longer each time.
func (member *member) broke(now cherrykeel.Instant) {
	pause := pauseAfterBreak << min(member.breaks, 3)
	member.breaks++
	member.pausedUntil = now.Add(min(pause, maxPause))
}

// works is the mean work time over the upstreams that have answered, kept up as they answer: asked for with
// each request, a sum over 100 upstreams was most of what a request cost.
type works struct {
	total time.Duration
	known int
}

func (works *works) add(work time.Duration) {
	if work > 0 {
		works.total += work
		works.known++
	}
}

func (works *works) remove(work time.Duration) {
	if work > 0 {
		works.total -= work
		works.known--
	}
}

func (works *works) mean() time.Duration {
	if works.known == 0 {
		return unknownWork
	}
	return works.total / time.Duration(works.known)
}
