package opctl_test

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/heads"
	"cherrykeel/opctl"
)

// serveRaw answers each request with a head and the body, and returns the address.
func serveRaw(head string, body any) string {
	GinkgoHelper()
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	server, err := fakes.NewRawServer(head, string(data))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return server.Address()
}

var _ = Describe("a host that sends bytes that look like an answer and are none", func() {
	const properHead = "HTTP/1.1 200\r\n"

	// member returns an entry host that answers its operators with a head and its name as the owner's.
	member := func(name, head string) cherrykeel.Member {
		GinkgoHelper()
		address := serveRaw(head, map[string]any{"Owner": name})
		return cherrykeel.Member{Name: name, Role: cherrykeel.RoleEntry, AdminAddress: address}
	}
	client := func(members ...cherrykeel.Member) *opctl.Client {
		GinkgoHelper()
		return opctl.NewClient("http://"+fakes.FreeAddress(), "http://"+serveRaw(properHead, members), 10*time.Second)
	}

	// Guards against a change that operators take to be in force, and an owner that is none, by bytes that are no answer.
	DescribeTable("shows operators nothing", func(head string) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		statuses, err := client(member("broken", head)).HostStatuses(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(statuses).To(HaveLen(1))
		Expect(statuses[0].Status).To(BeNil())
		Expect(statuses[0].Error).To(ContainSubstring(heads.ErrMalformed.Error()))
		ownership, err := client(member("broken", head), member("proper", properHead)).Owner(ctx, "s", "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(ownership.Owner).To(Equal("proper"))
	},
		Entry("status 000", "HTTP/1.1 000 Broken\r\n"),
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\nBad Name: x\r\n"),
		Entry("version 2.0", "HTTP/2.0 200 OK\r\n"),
	)
})
