package flow

import (
	"time"

	"cherrykeel"
)

const (
	// slownessLasts is the time in which the slowness of a machine has surely become another one.
	slownessLasts = 400 * time.Millisecond
	// slownessWeight is the weight of the newest told slowness in the mean over a service's upstreams.
	slownessWeight = 0.02
)

// slowness is how many times as long as usual work takes at a service's upstreams, which share their machines with
// others. Without a told one it is 1.
type slowness struct {
	mean float64
}

// note takes what one upstream told.
func (slowness *slowness) note(told float64) {
	if told <= 0 {
		return
	}
	if slowness.mean == 0 {
		slowness.mean = told
		return
	}
	slowness.mean += slownessWeight * (told - slowness.mean)
}

// told reports whether upstreams tell theirs.
func (slowness *slowness) told() bool {
	return slowness.mean > 0
}

func (slowness *slowness) usual() float64 {
	if slowness.mean == 0 {
		return 1
	}
	return slowness.mean
}

// moment is what an upstream told of one moment.
type moment struct {
	slowness float64
	at       cherrykeel.Instant
}

// over is the mean slowness of a time of which the moment covers a part: in the rest it is as usual.
func (moment moment) over(usual, covered float64) float64 {
	if moment.slowness == 0 {
		return usual
	}
	return usual + covered*(moment.slowness-usual)
}

// ahead is the mean slowness to be expected over work that begins at a later time.
func (moment moment) ahead(usual float64, work time.Duration, now cherrykeel.Instant) float64 {
	age := float64(now.Sub(moment.at)) / float64(slownessLasts)
	return moment.over(usual, max(0, 1-age)*covered(work))
}

// covered is the part of some work that a moment within it, or at its edge, tells of.
func covered(work time.Duration) float64 {
	return min(1, float64(slownessLasts/2)/float64(max(work, 1)))
}
