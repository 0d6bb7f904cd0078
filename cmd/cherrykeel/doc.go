// Command cherrykeel runs an entry host and the operators' commands: it checks, publishes and shows settings, and shows
// hosts and owners.
package main
