// Package hangup takes SIGHUP for a process that reads its settings again by it.
package hangup
