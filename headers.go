package cherrykeel

// The headers of the protocols with callers and upstreams, described in docs/PROTOCOLS.md.
const (
	// HeaderOutcome is "not-run" or "unknown" on answers that the router makes itself.
	HeaderOutcome = "Cherrykeel-Outcome"
	// HeaderRequest carries the request's id; an upstream echoes it in its answer.
	HeaderRequest = "Cherrykeel-Request"
	// HeaderPartition carries the partition that the key hashes to, for upstreams of keyed services.
	HeaderPartition = "Cherrykeel-Partition"
	// HeaderKey carries the key, for upstreams of keyed services.
	HeaderKey = "Cherrykeel-Key"
	// HeaderService carries the service's path.
	HeaderService = "Cherrykeel-Service"
	// HeaderRefused is set by an upstream that refused a request without acting on it: "owner", "shed" or "draining".
	HeaderRefused = "Cherrykeel-Refused"
	// HeaderTimeout carries the time left for the request, in milliseconds.
	HeaderTimeout = "Cherrykeel-Timeout"
	// HeaderLoad is an upstream's report of its load, from 0 to 1.
	HeaderLoad = "Cherrykeel-Load"
	// HeaderPriority carries the caller's urgency, u=0 (first) to u=7, as RFC 9218 defines it.
	HeaderPriority = "Priority"
	// HeaderIdempotencyKey carries the caller's key for one action; repeats of the action carry the same key.
	HeaderIdempotencyKey = "Idempotency-Key"
)
