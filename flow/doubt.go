package flow

import "math"

const (
	// uncertaintyWeight is the weight of the newest answer in the mean error of counts: a host has some 5 to 10 answers of a
	// service a second, so that it follows a load that changes within 2 to 4 s.
	uncertaintyWeight = 0.05
	// extraRoomFactor is how many places more an upstream has for each request by which counts are wrong.
	extraRoomFactor = 2
	// highUncertainty is the error, as a part of an upstream's slots, from which on the lowest count says little.
	highUncertainty = 0.25
)

// uncertainty is how far the counts of requests at upstreams are wrong when an upstream tells its own: the mean over all
// upstreams of a service, since one host has an answer of each only every few seconds.
//
// Counts are some 100 to 400 ms old. Where many hosts send to upstreams of few slots, more comes and goes in that time than
// an upstream has room for, and those few that seem to have room get the requests of all hosts at once.
type uncertainty struct {
	// meanError is the mean error as a part of an upstream's slots.
	meanError float64
}

// record takes what was counted at an upstream and what it told.
func (uncertainty *uncertainty) record(counted, reported, slots int) {
	difference := math.Abs(float64(reported-counted)) / float64(slots)
	uncertainty.meanError += uncertaintyWeight * (difference - uncertainty.meanError)
}

// extraRoom is how many places more than its limit an upstream is taken to have: the less counts are worth, the more
// upstreams are drawn from.
func (uncertainty *uncertainty) extraRoom(slots int) int {
	return int(extraRoomFactor * uncertainty.meanError * float64(slots))
}

// isHigh reports whether the upstream with the lowest count is hardly better than another.
func (uncertainty *uncertainty) isHigh() bool {
	return uncertainty.meanError >= highUncertainty
}
