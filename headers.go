package cherrykeel

// The headers of the protocols with callers and upstreams, described in docs/PROTOCOLS.md.
const (
	// HeaderOutcome tells callers "not-run" or "unknown" on answers that the router made.
	HeaderOutcome = "Cherrykeel-Outcome"
	// HeaderRequest carries the request's id; an upstream echoes it in its answer.
	HeaderRequest = "Cherrykeel-Request"
	// HeaderPartition tells a keyed upstream which partition the key hashes to.
	HeaderPartition = "Cherrykeel-Partition"
	// HeaderKey tells a keyed upstream the key.
	HeaderKey = "Cherrykeel-Key"
	// HeaderService tells an upstream the service's path.
	HeaderService = "Cherrykeel-Service"
	// HeaderRefused is set by an upstream that refused a request without acting on it: "owner", "shed" or "draining".
	HeaderRefused = "Cherrykeel-Refused"
	// HeaderTimeout carries the time that remains, in milliseconds.
	HeaderTimeout = "Cherrykeel-Timeout"
	// HeaderLoad is an upstream's report of its load, from 0 to 1.
	HeaderLoad = "Cherrykeel-Load"
	// HeaderPriority carries a caller's urgency, u=0 (first) to u=7, as RFC 9218 defines it.
	HeaderPriority = "Priority"
	// HeaderIdempotencyKey is the caller's name for one action.
	HeaderIdempotencyKey = "Idempotency-Key"
)
