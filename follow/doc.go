// Package follow keeps a host's state in step with the platform's log. A Follower starts from a checkpoint and the
// records after it, or reads from other hosts while the log is unavailable; it proposes records, returns the verdicts on
// them, and serves records to hosts that cannot read the log.
package follow
