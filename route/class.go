package route

import (
	"strconv"
	"strings"

	"cherrykeel"
)

// IsRepeatable reports whether a request may run twice without harm, by the service's setting or else by its method.
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

// maxUrgency is the number of the lowest urgency.
const maxUrgency = 7

// Priority returns the priority of a request: the urgency in the caller's Priority header plus one, so that u=0 is 1
// and u=7 is 8, or the service's priority if there is none.
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
