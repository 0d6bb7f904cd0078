package flow

import (
	"math"
	"time"

	"cherrykeel"
	"cherrykeel/cold"
	"cherrykeel/permit"
)

const (
	// defaultProcessingTime is assumed while no upstream of the service has answered yet.
	defaultProcessingTime = 80 * time.Millisecond
	// answerWeight is the weight of the newest answer in the mean processing time of an upstream. With about 3 answers
	// a second from each upstream, one that becomes slow is detected within 2 s.
	answerWeight = 0.2
	// queuedAnswerWeight is the weight of an answer that had to wait for a slot. The time that it waited is estimated
	// from counts that are up to 80 ms old; with the full weight, an upstream that is merely busy would look slow.
	queuedAnswerWeight = 0.05
	// lateAnswerWeight is the weight of an answer that this host read after the request's deadline.
	lateAnswerWeight = 0.05
	// coldSlowdown is the factor by which an upstream is slower for some seconds after its start.
	coldSlowdown = 2
	// failureHalfLife is the half-life of the counts of failures and answers. An upstream that failed gets requests
	// again after some seconds, so that no upstream stays unused because of what one host observed seconds ago.
	failureHalfLife = 2 * time.Second
	// minFailures is the decayed count of failures below which they are ignored; three failures are ignored after 7 s.
	minFailures = 0.25
	// failureCost is the time that is added to the cost of an upstream all of whose requests fail.
	failureCost = 2 * time.Second
	// connectFailurePause is how long an upstream gets no requests after a failed connection attempt. The pause doubles
	// with each further failure, up to maxConnectFailurePause.
	connectFailurePause    = 300 * time.Millisecond
	maxConnectFailurePause = 2 * time.Second
	// maxReportAge is how long a load that an upstream reported with an answer takes precedence over the hosts' counts,
	// which are about 200 ms old.
	maxReportAge = 200 * time.Millisecond
	// maxFreeSlotSlowness limits the preference for a reported free slot: it does not apply if the upstream's machine
	// is slower than usual by this factor, or if its expected processing time exceeds the service's mean by this
	// factor.
	maxFreeSlotSlowness = 1.5
)

// member is the state that this host keeps about one upstream.
type member struct {
	upstream cherrykeel.Upstream
	// firstSendAt is when this host may send its first request to an upstream that joined. It is 0 once a request has
	// been sent, and for upstreams that did not join later.
	firstSendAt cherrykeel.Instant
	// localLoad counts this host's requests at the upstream, remoteLoad those of the other hosts.
	localLoad  int
	remoteLoad int
	// reportedAt is when the upstream last reported its load with an answer, and slowness is the factor by which its
	// machine was slower than usual at that time.
	reportedAt cherrykeel.Instant
	slowness   float64
	// remoteWaiting counts the other hosts' requests that wait for this upstream as their key's owner.
	remoteWaiting int
	// sendWindow counts the requests that this host sends while the upstream is cold.
	sendWindow cold.Window
	// slotSample is this host's random choice for a free slot since the last counts.
	slotSample slotSample
	// queue is the state of the queue of requests for this upstream's keys.
	queue standingQueue
	// lastSentAt is when this host last sent the upstream a request.
	lastSentAt cherrykeel.Instant
	// processingTime is the mean processing time of a request; 0 while unknown.
	processingTime time.Duration
	// failures and answers count this host's attempts. They decay; decayedAt is the time of their present values.
	failures  float64
	answers   float64
	decayedAt cherrykeel.Instant
	// connectFailures counts consecutive attempts that could not connect to the upstream.
	connectFailures int
	pausedUntil     cherrykeel.Instant
	// restUntil is until when the upstream wants no request from this host.
	restUntil cherrykeel.Instant
	// permits are those for an upstream that names a limit.
	permits permit.Held
}

// load returns the number of requests at the upstream, from all hosts.
func (member *member) load() int {
	return member.localLoad + member.remoteLoad
}

// limit returns how many requests may be at the upstream at once: its slots, and a few in its own queue. With these, a
// slot that becomes free is used at once although other hosts learn of it about 80 ms later.
func (member *member) limit() int {
	return member.upstream.Slots + (member.upstream.Slots+2)/3
}

// rate returns how many requests a second the upstream can process.
func (member *member) rate(serviceMean time.Duration, now cherrykeel.Instant) float64 {
	rate := float64(member.upstream.Slots) / member.expectedProcessingTime(serviceMean, now).Seconds()
	if member.upstream.HasRateLimit {
		return min(rate, permit.RateOf(member.upstream.RateLimit))
	}
	return rate
}

// isClosed reports whether the upstream gets no more requests because its availability zone is evacuated or because it
// is leaving.
func (member *member) isClosed(now cherrykeel.Instant) bool {
	return member.upstream.IsEvacuated(now) || member.upstream.HasLeft(now)
}

// isLeaving reports whether the upstream has stated that it is leaving.
func (member *member) isLeaving() bool {
	return member.upstream.LeaveAt != 0
}

// isAvailable reports whether the upstream may get requests. Its capacity is not considered.
func (member *member) isAvailable(now cherrykeel.Instant) bool {
	return now >= member.pausedUntil && !member.isResting(now) && !member.isClosed(now)
}

// setRemoteCounts records the other hosts' counts. A fresh load report of the upstream itself is newer than their count
// of running requests and takes precedence.
func (member *member) setRemoteCounts(running, waiting int, now cherrykeel.Instant) {
	if !member.hasFreshReport(now) {
		member.remoteLoad = running
	}
	member.remoteWaiting = waiting
	member.slotSample = slotSample{}
}

// recordReportedLoad records the load that the upstream reported with an answer. The answered request is still included
// in it.
func (member *member) recordReportedLoad(load cherrykeel.UpstreamLoad, now cherrykeel.Instant) {
	member.reportedAt = now
	member.slowness = load.Slowness
	member.remoteLoad = max(0, load.Running+load.Waiting-member.localLoad-1)
}

// hasFreshReport reports whether the upstream's last load report is fresh.
func (member *member) hasFreshReport(now cherrykeel.Instant) bool {
	return member.reportedAt != 0 && now.Sub(member.reportedAt) < maxReportAge
}

// hasReportedFreeSlot reports whether a fresh load report shows a free slot, and the upstream neither fails nor is much
// slower than the service's mean.
func (member *member) hasReportedFreeSlot(serviceMean time.Duration, now cherrykeel.Instant) bool {
	if !member.hasFreshReport(now) || member.load() >= member.upstream.Slots || member.failureRate(now) > 0 {
		return false
	}
	return member.slowness < maxFreeSlotSlowness && member.expectedProcessingTime(serviceMean, now) < time.Duration(maxFreeSlotSlowness*float64(serviceMean))
}

// canAccept reports whether a request may be sent to the upstream now.
func (member *member) canAccept(uncertainty *uncertainty, now cherrykeel.Instant) bool {
	if member.upstream.IsColdLimited(now) && !member.sendWindow.Allows(member.upstream.ColdQuota, now) {
		return false
	}
	return member.isAvailable(now) && member.hasPermit(now) && member.load() < member.limit()+uncertainty.extraRoom(member.upstream.Slots)
}

// expectedProcessingTime returns the expected processing time of a request. serviceMean is used for an upstream that
// has not answered yet.
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

// expectedTime returns the expected time until the answer of a request that is sent now.
func (member *member) expectedTime(serviceMean time.Duration, now cherrykeel.Instant) time.Duration {
	processingTime := member.expectedProcessingTime(serviceMean, now)
	occupancy := float64(member.load()+1) / float64(member.upstream.Slots)
	return time.Duration(float64(processingTime) * max(1, occupancy))
}

// failureRate returns the share of recent attempts that failed, from 0 to 1.
func (member *member) failureRate(now cherrykeel.Instant) float64 {
	member.decayCounts(now)
	if member.failures < minFailures {
		return 0
	}
	return member.failures / (member.answers + member.failures + 1)
}

// decayCounts reduces the counts of failures and answers by the time that has passed since it was last called.
func (member *member) decayCounts(now cherrykeel.Instant) {
	factor := math.Exp2(-now.Sub(member.decayedAt).Seconds() / failureHalfLife.Seconds())
	member.decayedAt = now
	member.failures *= factor
	member.answers *= factor
}

// recordProcessingTime updates the mean processing time with the time that an answer took. load is the greater of the
// count when the request was sent and the load that the upstream reported with its answer, because counts lag when many
// hosts send to one upstream at once. If time spent in the upstream's queue counted as processing time, a key's owner
// would look three times slower than it is, and requests that it could serve would be refused.
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

// recordConnectFailure records that the upstream could not be reached and pauses requests to it, longer each time.
func (member *member) recordConnectFailure(now cherrykeel.Instant) {
	pause := connectFailurePause << min(member.connectFailures, 3)
	member.connectFailures++
	member.pausedUntil = now.Add(min(pause, maxConnectFailurePause))
}

// processingTimes holds the mean processing time over the upstreams that have answered, updated with each answer. A sum
// over 100 upstreams for each request would be most of the cost of scheduling it.
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
