// Package opctl implements the operators' commands: it reads the settings from the platform's log, checks and publishes
// changes, requests status and ownership from hosts, and prints the results.
package opctl
