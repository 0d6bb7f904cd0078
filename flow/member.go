package flow

import (
	"math"
	"time"

	"cherrykeel"
	"cherrykeel/cold"
)

const (
	// defaultProcessingTime is assumed of an upstream when no upstream of the service has answered yet.
	defaultProcessingTime = 80 * time.Millisecond
	// answerWeight is the weight of the newest answer in the mean of an upstream's work time: with
	// some 3 answers a second from each upstream, an upstream that turns slow shows within 2 s.
	answerWeight = 0.2
	// queuedAnswerWeight is the weight of an answer that had to wait for a slot: how long it waited follows from
	// counts that are up to 80 ms old, and taken in full it makes a merely busy upstream look slow.
	queuedAnswerWeight = 0.05
	// lateAnswerWeight is the weight of an answer that this host has read too late.
	lateAnswerWeight = 0.05
	// coldSlowdown is by how much an upstream is slower for some seconds after its start.
	coldSlowdown = 2
	// failureHalfLife is how fast failures are forgotten, so that an upstream that failed is tried
	// again: none is left without requests by what one host has seen seconds ago.
	failureHalfLife = 2 * time.Second
	// minFailures is the count below which failures say nothing any more; three are forgotten after 7 s.
	minFailures = 0.25
	// failureCost is the time by which a sure failure makes an upstream look slower.
	failureCost = 2 * time.Second
	// connectFailurePause is how long an upstream that could not be reached gets nothing.
	connectFailurePause    = 300 * time.Millisecond
	maxConnectFailurePause = 2 * time.Second
	// maxReportAge is how long what an upstream has told of its load with an answer is believed before the hosts' counts: these
	// are some 200 ms old.
	maxReportAge = 200 * time.Millisecond
	// maxFreeSlotSlowness is by how much an upstream has to be slower, at this moment or in the mean, that a slot which it has told
	// to be free is no better than others.
	maxFreeSlotSlowness = 1.5
)

// member is one upstream as this host sees it.
type member struct {
	upstream cherrykeel.Upstream
	// firstSendAt is when this host should have tried an upstream that joined; 0 once it has, and for those that
	// were there before.
	firstSendAt cherrykeel.Instant
	// localLoad counts this host's requests there, others what the other hosts say of theirs.
	localLoad  int
	remoteLoad int
	// reportedAt is when it last told its own load with an answer, and slowness how slow its machine was then.
	reportedAt cherrykeel.Instant
	slowness   float64
	// remoteWaiting counts the other hosts' requests that wait for this upstream alone.
	remoteWaiting int
	// sendWindow counts what this host sends while it is cold.
	sendWindow cold.Window
	// slotSample is what this host drew among the hosts that wait, since the last counts.
	slotSample slotSample
	// queue is about the queue of the requests for its keys.
	queue standingQueue
	// lastSentAt is when this host last sent it a request.
	lastSentAt cherrykeel.Instant
	// processingTime is the mean time of one request in a slot; 0 while unknown.
	processingTime time.Duration
	// failures is a decayed count, and so is answers.
	failures  float64
	answers   float64
	decayedAt cherrykeel.Instant
	// connectFailures counts attempts in a row that could not reach it.
	connectFailures int
	pausedUntil     cherrykeel.Instant
}

func (member *member) load() int {
	return member.localLoad + member.remoteLoad
}

// limit is how many requests may be there at once: its slots and a few in its own queue, so that a slot
// that becomes free is used at once, though other hosts learn of it some 80 ms later.
func (member *member) limit() int {
	return member.upstream.Slots + (member.upstream.Slots+2)/3
}

// rate is how many requests a second it can do.
func (member *member) rate(serviceMean time.Duration, now cherrykeel.Instant) float64 {
	return float64(member.upstream.Slots) / member.expectedProcessingTime(serviceMean, now).Seconds()
}

// isClosed reports whether nothing more is to be sent there, since its availability zone is evacuated.
func (member *member) isClosed(now cherrykeel.Instant) bool {
	return member.upstream.EvacuateAt != 0 && now >= member.upstream.EvacuateAt
}

// isAvailable reports whether it may be sent requests, if it has room for them.
func (member *member) isAvailable(now cherrykeel.Instant) bool {
	return now >= member.pausedUntil && !member.isClosed(now)
}

// setRemoteCounts takes what the other hosts setRemoteCounts there. What the upstream itself told is newer for some time.
func (member *member) setRemoteCounts(running, waiting int, now cherrykeel.Instant) {
	if !member.hasFreshReport(now) {
		member.remoteLoad = running
	}
	member.remoteWaiting = waiting
	member.slotSample = slotSample{}
}

// recordReportedLoad takes what the upstream told of its load with an answer, which is still in it.
func (member *member) recordReportedLoad(load cherrykeel.UpstreamLoad, now cherrykeel.Instant) {
	member.reportedAt = now
	member.slowness = load.Slowness
	member.remoteLoad = max(0, load.Running+load.Waiting-member.localLoad-1)
}

// hasFreshReport reports whether it told its load a moment ago.
func (member *member) hasFreshReport(now cherrykeel.Instant) bool {
	return member.reportedAt != 0 && now.Sub(member.reportedAt) < maxReportAge
}

// hasReportedFreeSlot reports whether it told a moment ago that it has a free slot, and works at about the service's pace.
func (member *member) hasReportedFreeSlot(serviceMean time.Duration, now cherrykeel.Instant) bool {
	if !member.hasFreshReport(now) || member.load() >= member.upstream.Slots || member.failureRate(now) > 0 {
		return false
	}
	return member.slowness < maxFreeSlotSlowness && member.expectedProcessingTime(serviceMean, now) < time.Duration(maxFreeSlotSlowness*float64(serviceMean))
}

// canAccept reports whether a request may go there now.
func (member *member) canAccept(uncertainty *uncertainty, now cherrykeel.Instant) bool {
	if member.upstream.IsColdLimited(now) && !member.sendWindow.Allows(member.upstream.ColdQuota, now) {
		return false
	}
	return member.isAvailable(now) && member.load() < member.limit()+uncertainty.extraRoom(member.upstream.Slots)
}

// expectedProcessingTime is the expected time of one request in a slot.
func (member *member) expectedProcessingTime(serviceMean time.Duration, now cherrykeel.Instant) time.Duration {
	expected := member.processingTime
	if expected == 0 {
		expected = serviceMean
	}
	if now < member.upstream.ColdUntil {
		expected *= coldSlowdown
	}
	return expected
}

// expectedTime is how long a request that is sent now will take there.
func (member *member) expectedTime(serviceMean time.Duration, now cherrykeel.Instant) time.Duration {
	processingTime := member.expectedProcessingTime(serviceMean, now)
	occupancy := float64(member.load()+1) / float64(member.upstream.Slots)
	return time.Duration(float64(processingTime) * max(1, occupancy))
}

// failureRate is the share of recent attempts that failed, from 0 to 1.
func (member *member) failureRate(now cherrykeel.Instant) float64 {
	member.decayCounts(now)
	if member.failures < minFailures {
		return 0
	}
	return member.failures / (member.answers + member.failures + 1)
}

func (member *member) decayCounts(now cherrykeel.Instant) {
	factor := math.Exp2(-now.Sub(member.decayedAt).Seconds() / failureHalfLife.Seconds())
	member.decayedAt = now
	member.failures *= factor
	member.answers *= factor
}

// recordProcessingTime takes an answer's time into the mean. Load is the greater one of what was counted when the request was
// sent and what the upstream told with its answer: counts lag when many hosts send to one upstream at once,
// and a time that was spent in its queue, taken for work, made a key's owner look three times slower than it
// was, so that callers were refused that it could have served.
func (member *member) recordProcessingTime(took time.Duration, load int, weight float64) {
	occupancy := max(1, float64(load)/float64(member.upstream.Slots))
	processingTime := time.Duration(float64(took) / occupancy)
	if member.processingTime == 0 {
		member.processingTime = processingTime
		return
	}
	if load > member.upstream.Slots {
		weight = min(weight, queuedAnswerWeight)
	}
	member.processingTime += time.Duration(weight * float64(processingTime-member.processingTime))
}

// recordConnectFailure notes that the upstream could not be reached; it pauses longer each time.
func (member *member) recordConnectFailure(now cherrykeel.Instant) {
	pause := connectFailurePause << min(member.connectFailures, 3)
	member.connectFailures++
	member.pausedUntil = now.Add(min(pause, maxConnectFailurePause))
}

// processingTimes is the mean work time over the upstreams that have answered, kept up as they answer: asked for with
// each request, a sum over 100 upstreams was most of what a request cost.
type processingTimes struct {
	total time.Duration
	count int
}

func (times *processingTimes) add(processingTime time.Duration) {
	if processingTime > 0 {
		times.total += processingTime
		times.count++
	}
}

func (times *processingTimes) remove(processingTime time.Duration) {
	if processingTime > 0 {
		times.total -= processingTime
		times.count--
	}
}

func (times *processingTimes) mean() time.Duration {
	if times.count == 0 {
		return defaultProcessingTime
	}
	return times.total / time.Duration(times.count)
}
