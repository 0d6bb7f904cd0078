package entry

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
)

// oneRecord is a topic with one record.
type oneRecord struct {
	emptyLog
	key string
}

func (log oneRecord) Newest(context.Context) (cherrykeel.KeyedBatch, error) {
	return cherrykeel.KeyedBatch{Records: []cherrykeel.KeyedRecord{{Key: log.key, Value: []byte("{}")}}, Next: 1}, nil
}

var _ = Describe("a host that starts", func() {
	// A host with a sixth of a core takes a tenth of a second to put in force hundreds of upstreams that it has read.
	// Guards against a host that is ready in that time and refuses callers because it knows no upstream.
	It("is not ready before the upstreams that it has read are in force", func() {
		decoding := make(chan struct{})
		released := make(chan struct{})
		release := sync.OnceFunc(func() { close(released) })
		DeferCleanup(release)
		host := unstartedHost(func(platform *Platform) {
			platform.Operator = oneRecord{key: platform.RoutesKey}
			platform.Upstreams = oneRecord{key: "u-1"}
			platform.DecodeUpstream = func(id string, _ []byte) (cherrykeel.Upstream, error) {
				close(decoding)
				<-released
				return cherrykeel.Upstream{ID: id, Service: "service-1"}, nil
			}
		})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go host.topics.operator.Run(ctx)
		go host.topics.hosts.Run(ctx)
		Eventually(host.topics.operator.HasAppliedSnapshot, "20s").Should(BeTrue())
		Eventually(host.topics.hosts.HasAppliedSnapshot, "20s").Should(BeTrue())
		go host.topics.upstreams.Run(ctx)
		Eventually(decoding, "20s").Should(BeClosed())
		Expect(host.topics.upstreams.HasRead()).To(BeTrue())
		go host.checkReady()
		Consistently(host.ready.Load, "100ms").Should(BeFalse())
		release()
		Eventually(host.checkReady, "20s").Should(BeTrue())
		Expect(host.appliedUpstreams.current()).To(HaveLen(1))
	})
})
