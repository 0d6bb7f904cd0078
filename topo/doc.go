// Package topo decides to which hosts a host sends its messages, so that their number does not grow with the square of
// the number of hosts: hosts are divided into groups, the aggregator of a group sums the loads of its members, and a
// few hubs receive the reports of all hosts.
package topo
