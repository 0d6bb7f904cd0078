package fakes_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/fakes"
)

const (
	service  = "test/keys"
	generous = 30 * time.Second
	short    = 20 * time.Millisecond
)

func TestFakes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fakes")
}

func call(upstream *fakes.Upstream, request *http.Request) cherrykeel.Holding {
	recorder := httptest.NewRecorder()
	upstream.ServeHTTP(recorder, request)
	var holding cherrykeel.Holding
	Expect(json.Unmarshal(recorder.Body.Bytes(), &holding)).To(Succeed())
	return holding
}

func holding(upstream *fakes.Upstream) cherrykeel.Holding {
	return call(upstream, httptest.NewRequest(http.MethodGet, "/.well-known/ownership?service="+service, nil))
}

// give lets the upstream own a partition for a time.
func give(upstream *fakes.Upstream, sequence int64, partition int, length time.Duration) cherrykeel.Holding {
	now := holding(upstream)
	body, err := json.Marshal(cherrykeel.Grant{
		Service:     service,
		Fence:       cherrykeel.Fence{Term: 1, Sequence: sequence},
		Incarnation: now.Incarnation,
		Until:       now.Now + length,
		Partitions:  []int{partition},
	})
	Expect(err).NotTo(HaveOccurred())
	given := call(upstream, httptest.NewRequest(http.MethodPut, "/.well-known/ownership", bytes.NewReader(body)))
	Expect(given.Accepted).To(BeTrue())
	return given
}

var _ = Describe("an upstream that checks fences", func() {
	// A caller's write is at work when the lease ends; the key goes to another upstream, whose caller writes it
	// too. The first upstream then gets a new lease, without the key. If only the lease of the moment counted,
	// the old write would take effect under it and undo the other.
	It("refuses what it began under a lease that has ended, though it has another one", func() {
		upstream := fakes.NewUpstream(fakes.UpstreamOptions{Name: "a", Slots: 1, EnforceFences: true, Work: 20 * short})
		given := give(upstream, 1, 3, 5*short)
		request := httptest.NewRequest(http.MethodPost, "/", nil)
		request.Header.Set(cherrykeel.HeaderService, service)
		request.Header.Set(cherrykeel.HeaderKey, "key")
		request.Header.Set(cherrykeel.HeaderPartition, "3")
		recorder := httptest.NewRecorder()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			upstream.ServeHTTP(recorder, request)
		}()
		Eventually(func() time.Duration { return holding(upstream).Now }).WithTimeout(generous).Should(BeNumerically(">", given.Until))
		give(upstream, 2, 0, time.Hour)
		Eventually(ended).WithTimeout(generous).Should(BeClosed())
		Expect(recorder.Code).To(Equal(http.StatusMisdirectedRequest))
	})
})
