package route

import (
	"cherrykeel"
)

// Repeatable reports whether a request may run twice without harm, by the service's setting and the method.
func Repeatable(idempotent cherrykeel.Idempotency, method string) bool {
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
