//go:build !cgo

package hangup

// restoreInherited does nothing, since without cgo the action of SIGHUP is not changed before the runtime starts.
func restoreInherited() {}
