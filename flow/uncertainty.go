package flow

import "math"

const (
	// uncertaintyWeight is the weight of the newest answer in the mean error of the counts. A host gets about 5 to 10
	// answers of a service a second, so the mean follows a changing load within 2 to 4 s.
	uncertaintyWeight = 0.05
	// extraRoomFactor is how many requests beyond its limit an upstream may get for each request by which the counts
	// are wrong.
	extraRoomFactor = 2
	// highUncertainty is the mean error, as a share of an upstream's slots, at which the lowest count begins to mean
	// little.
	highUncertainty = 0.25
)

// uncertainty is the error of the counts of requests at upstreams, compared with the load that an upstream reports
// itself. It is a mean over all upstreams of a service, since a host gets an answer from each of them only every few
// seconds.
//
// Counts are about 100 to 400 ms old. Where many hosts send to upstreams with few slots, more requests begin and end in
// that time than an upstream has room for, and the few upstreams that seem to have room get the requests of all hosts
// at once.
type uncertainty struct {
	// meanError is a share of an upstream's slots.
	meanError float64
}

// record updates the mean error with the count of requests at an upstream and the load that the upstream reported.
func (uncertainty *uncertainty) record(counted, reported, slots int) {
	difference := math.Abs(float64(reported-counted)) / float64(slots)
	uncertainty.meanError += uncertaintyWeight * (difference - uncertainty.meanError)
}

// extraRoom returns how many requests beyond its limit an upstream may get. The larger the error of the counts, the
// more upstreams are candidates for a sample.
func (uncertainty *uncertainty) extraRoom(slots int) int {
	return int(extraRoomFactor * uncertainty.meanError * float64(slots))
}

// isHigh reports whether the upstream with the lowest count is hardly better than another.
func (uncertainty *uncertainty) isHigh() bool {
	return uncertainty.meanError >= highUncertainty
}
