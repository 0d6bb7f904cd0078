package remote_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/heads"
	"cherrykeel/remote"
)

func TestRemote(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "remote")
}

// serveRaw answers each request with a head and the body, and returns the address.
func serveRaw(head, body string) string {
	server, err := fakes.NewRawServer(head, body)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return server.Address()
}

var _ = Describe("bytes that look like an answer and are none", func() {
	// Guards against an appended record, a list of hosts or a lease that is read from them: each status below 400 counted.
	DescribeTable("show nothing to a client of the platform", func(head string) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := remote.NewLog("http://"+serveRaw(head, `{"Offset":7}`), "s").Append(ctx, []byte(`{}`))
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).To(ContainSubstring(heads.ErrMalformed.Error()))
		_, err = remote.NewGranter().Grant(ctx, serveRaw(head, `{}`), cherrykeel.Grant{})
		Expect(err).To(MatchError(remote.ErrUpstreamControl))
	},
		Entry("status 000", "HTTP/1.1 000 Broken\r\n"),
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\nBad Name: x\r\n"),
		Entry("version 2.0", "HTTP/2.0 200 OK\r\n"),
	)

	// Guards against proper answers that are given up.
	It("are not proper ones", func() {
		offset, err := remote.NewLog("http://"+serveRaw("HTTP/1.1 200\r\n", `{"Offset":7}`), "s").Append(context.Background(), []byte(`{}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(offset).To(Equal(int64(7)))
	})
})
