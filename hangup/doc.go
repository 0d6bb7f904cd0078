// Package hangup receives SIGHUP for a process that rereads its settings on that signal.
package hangup
