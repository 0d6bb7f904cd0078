// Package flow decides, for one service on one host, which request goes to
// which upstream and when, and which is refused at once because waiting cannot
// help it. It is pure; the caller locks it and tells it the time.
package flow
