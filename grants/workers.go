package grants

import (
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"

	"cherrykeel"
)

const (
	// callsAtOnce bounds the grants, and the probes, that are under way to upstreams.
	callsAtOnce = 64
	// releasesAtOnce bounds the releases, which wait for running work, up to the longest hold.
	releasesAtOnce = 256
	// callTimeout bounds one grant from its decision on, the wait for a worker included.
	callTimeout = 600 * time.Millisecond
	// cancelLate is how much later a grant may still leave whose time has passed: a host that has used up its part
	// of the processor does nothing for up to a tenth of a second, and then ends the call.
	cancelLate = 100 * time.Millisecond
	// arriveWithin is how long after its decision a grant is taken to arrive at the latest; its way, some milliseconds,
	// is within cancelLate. One that a full link holds up for longer is not counted.
	arriveWithin = callTimeout + cancelLate
	// longestWait is how long a grant may wait for a worker; the evidence that it rests on is too old then.
	longestWait = evidenceAge / 2
	// fairWait leaves a grant enough of its time that an upstream which lives answers.
	fairWait = 200 * time.Millisecond
	// longestTake is more than a grant takes on a busy host; the machine was suspended meanwhile.
	longestTake = 2 * callTimeout
)

// errOverdue means that a grant waited too long for a worker and was not sent: it says nothing of the upstream.
var errOverdue = errors.WithMessage(cherrykeel.ErrNotSent, "it waited too long for a worker")

// errWithdrawn means that a grant was not sent, since its span is released or granted otherwise.
var errWithdrawn = errors.WithMessage(cherrykeel.ErrNotSent, "its span is granted otherwise")

// workers carry out what waits for others. Each kind has its own, so that none waits for one that takes longer: with
// one pool for all, 64 releases that wait for running work would hold back all grants, and the writes of the table.
type workers struct {
	grants   pond.Pool
	releases pond.Pool
	probes   pond.Pool
	writes   pond.Pool
}

func newWorkers() workers {
	return workers{
		grants: pond.NewPool(callsAtOnce), releases: pond.NewPool(releasesAtOnce),
		probes: pond.NewPool(callsAtOnce), writes: pond.NewPool(1),
	}
}
