package permit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
)

func TestPermit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "permit")
}

// at returns the instant that is the given number of milliseconds after the start.
func at(milliseconds int) cherrykeel.Instant {
	return cherrykeel.Instant(time.Duration(milliseconds) * time.Millisecond)
}
