// Package hangup receives SIGHUP for a process that rereads its settings on that signal. With cgo the signal is ignored
// from the end of dynamic loading until it is received; without cgo it ends the process until then.
package hangup
