// Package member decides which entry hosts and upstreams are available. It combines the platform's list, which may be
// out of date, the reports of peers, and the results of this host's own requests, and trusts none of them alone. It is
// a pure package: time and input are arguments.
package member
