package route

import (
	"strconv"
	"strings"

	"cherrykeel"
)

// IsRepeatable reports whether a request may run twice without harm, by the service's setting and the method.
func IsRepeatable(idempotent cherrykeel.Idempotency, method string) bool {
	switch idempotent {
	case cherrykeel.IdempotentAlways:
		return true
	case cherrykeel.IdempotentNever:
		return false
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

const maxUrgency = 7

// Priority returns the priority of a request: that of the urgency in the caller's Priority
// header, u=0 being 1 and u=7 being 8, or else the service's.
func Priority(servicePriority int, header string) int {
	for _, member := range strings.Split(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(member), "u=")
		urgency, err := strconv.Atoi(value)
		if found && err == nil && urgency >= 0 && urgency <= maxUrgency {
			return urgency + 1
		}
	}
	return servicePriority
}
