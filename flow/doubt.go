package flow

import "math"

const (
	// doubtWeight is the weight of the newest answer in the mean error of counts: a host has some 5 to 10 answers of a
	// service a second, so that it follows a load that changes within 2 to 4 s.
	doubtWeight = 0.05
	// doubtedRoom is how many places more an upstream has for each request by which counts are wrong.
	doubtedRoom = 2
	// muchDoubt is the error, as a part of an upstream's slots, from which on the lowest count says little.
	muchDoubt = 0.25
)

// doubt is how far the counts of requests at upstreams are wrong when an upstream tells its own: the mean over all
// upstreams of a service, since one host has an answer of each only every few seconds.
//
// Counts are some 100 to 400 ms old. Where many hosts send to upstreams of few slots, more comes and goes in that time than
// an upstream has room for, and those few that seem to have room get the requests of all hosts at once.
type doubt struct {
	// share is the mean error as a part of an upstream's slots.
	share float64
}

// note takes what was counted at an upstream and what it told.
func (doubt *doubt) note(counted, told, slots int) {
	wrong := math.Abs(float64(told-counted)) / float64(slots)
	doubt.share += doubtWeight * (wrong - doubt.share)
}

// room is how many places more than its limit an upstream is taken to have: the less counts are worth, the more
// upstreams are drawn from.
func (doubt *doubt) room(slots int) int {
	return int(doubtedRoom * doubt.share * float64(slots))
}

// much reports whether the upstream with the lowest count is hardly better than another.
func (doubt *doubt) much() bool {
	return doubt.share >= muchDoubt
}
