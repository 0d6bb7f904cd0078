//go:build cgo

package hangup

// void cherrykeel_restore_hangup(void);
import "C"

// restoreInherited restores the action that SIGHUP had when the process was started.
func restoreInherited() {
	C.cherrykeel_restore_hangup()
}
