package grants

import (
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"

	"cherrykeel"
)

const (
	// maxCalls bounds the grants, and the probes, that are under way to upstreams.
	maxCalls = 64
	// maxReleases bounds the releases, which wait for running work, up to the longest hold.
	maxReleases = 256
	// callTimeout bounds one grant from its decision on, the wait for a worker included.
	callTimeout = 600 * time.Millisecond
	// maxCancelDelay is how much later a grant may still leave whose time has passed: a host that has used up its part
	// of the processor does nothing for up to a tenth of a second, and then ends the call.
	maxCancelDelay = 100 * time.Millisecond
	// maxArrivalDelay is how long after its decision a grant is taken to arrive at the latest; its way, some milliseconds,
	// is within cancelLate. One that a full link holds up for longer is not counted.
	maxArrivalDelay = callTimeout + maxCancelDelay
	// maxWorkerWait is how long a grant may wait for a worker; the evidence that it rests on is too old then.
	maxWorkerWait = maxEvidenceAge / 2
	// maxFairWait leaves a grant enough of its time that an upstream which lives answers.
	maxFairWait = 200 * time.Millisecond
	// maxGrantTime is more than a grant takes on a busy host; the machine was suspended meanwhile.
	maxGrantTime = 2 * callTimeout
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
		grants: pond.NewPool(maxCalls), releases: pond.NewPool(maxReleases),
		probes: pond.NewPool(maxCalls), writes: pond.NewPool(1),
	}
}
