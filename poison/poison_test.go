package poison_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPoison(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "poison")
}
