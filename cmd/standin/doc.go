// Command standin runs a stand-in of the platform's log, of its list of hosts, or of an upstream.
package main
