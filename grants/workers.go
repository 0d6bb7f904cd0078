package grants

import (
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"

	"cherrykeel"
)

const (
	// maxCalls bounds the grants, and likewise the probes, that are under way at once.
	maxCalls = 64
	// maxReleases bounds the releases that are under way at once; each waits for running requests, up to the longest
	// lease.
	maxReleases = 256
	// callTimeout bounds one grant from its decision, including the wait for a worker, and one probe from its start.
	callTimeout = 600 * time.Millisecond
	// maxCancelDelay bounds how long after its timeout a grant may still be sent: a host that has used up its processor
	// quota does nothing for up to a tenth of a second, and cancels the call only then.
	maxCancelDelay = 100 * time.Millisecond
	// maxArrivalDelay is the assumed maximum of the time from a grant's decision until its arrival. Its transmission
	// takes some milliseconds, which maxCancelDelay includes. Grants that a saturated link delays for longer are not
	// covered.
	maxArrivalDelay = callTimeout + maxCancelDelay
	// maxWorkerWait is how long a grant or a release may wait for a worker; after that, the evidence on which it is based
	// is too old.
	maxWorkerWait = maxEvidenceAge / 2
	// maxFairWait is the longest wait for a worker that leaves a running upstream enough time to answer the grant.
	maxFairWait = 200 * time.Millisecond
	// maxGrantTime is longer than a grant takes on a busy host; if one takes longer, the machine was suspended.
	maxGrantTime = 2 * callTimeout
)

// errOverdue means that a grant or a release waited too long for a worker and was not sent, which is no evidence
// against the upstream.
var errOverdue = errors.WithMessage(cherrykeel.ErrNotSent, "the order waited too long for a worker")

// errWithdrawn means that a grant was not sent because its span is being released or is granted otherwise.
var errWithdrawn = errors.WithMessage(cherrykeel.ErrNotSent, "its span is released or granted otherwise")

// workers are the pools that run calls to upstreams and writes to the store. Each kind has its own pool, so that none
// waits for another kind that takes longer: with one pool for all, 64 releases that wait for running requests would
// hold back all grants, and the writes of the table.
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
