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
	service           = "test/keys"
	eventuallyTimeout = 30 * time.Second
	short             = 20 * time.Millisecond
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

// grant grants the upstream a partition for a lease of the given length.
func grant(upstream *fakes.Upstream, sequence int64, partition int, length time.Duration) cherrykeel.Holding {
	now := holding(upstream)
	body, err := json.Marshal(cherrykeel.Grant{
		Service:     service,
		Fence:       cherrykeel.Fence{Term: 1, Sequence: sequence},
		Incarnation: now.Incarnation,
		Until:       now.Now + length,
		Partitions:  []int{partition},
	})
	Expect(err).NotTo(HaveOccurred())
	granted := call(upstream, httptest.NewRequest(http.MethodPut, "/.well-known/ownership", bytes.NewReader(body)))
	Expect(granted.Accepted).To(BeTrue())
	return granted
}

var _ = Describe("an upstream that enforces fences", func() {
	// Guards against a lost update: a write is running when its lease ends, another upstream gets the key and writes it,
	// and the first upstream gets a new lease without the key. If only the current lease counted, the first write would
	// take effect under it and overwrite the second.
	It("refuses a request that began under an ended lease, even after a new grant", func() {
		upstream := fakes.NewUpstream(fakes.UpstreamOptions{Name: "a", Slots: 1, EnforceFences: true, Work: 20 * short})
		granted := grant(upstream, 1, 3, 5*short)
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
		Eventually(func() time.Duration { return holding(upstream).Now }).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", granted.Until))
		grant(upstream, 2, 0, time.Hour)
		Eventually(ended).WithTimeout(eventuallyTimeout).Should(BeClosed())
		Expect(recorder.Code).To(Equal(http.StatusMisdirectedRequest))
	})
})
