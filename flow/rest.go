package flow

import (
	"time"

	"cherrykeel"
)

// RecordRest records that the upstream of a slot wants no request from this host for some time.
func (service *Service) RecordRest(*Slot, time.Duration, cherrykeel.Instant) {}
