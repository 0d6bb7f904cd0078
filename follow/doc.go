// Package follow keeps a host's fold in step with the platform's log: it starts
// from a checkpoint and the tail, or from peers while the log is out, proposes
// records and finds out what became of them, and writes checkpoints in time.
package follow
