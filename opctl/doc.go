// Package opctl carries out operators' commands: it reads the settings from the
// platform's log, publishes changes, and asks hosts how they fare.
package opctl
