package poison_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/poison"
)

var _ = Describe("a request's identity", func() {
	request := poison.Parts{Method: "GET", Domain: "h.example", Path: "/a/b?c", Caller: "10.0.0.1:4000", Body: []byte("xy")}

	// A caller sends a request again after it has failed: on another connection, so from another port.
	It("is the same from another port of its caller", func() {
		again := request
		again.Caller = "10.0.0.1:4001"
		Expect(poison.Identify(again)).To(Equal(poison.Identify(request)))
	})

	DescribeTable("is another one", func(change func(parts *poison.Parts)) {
		other := request
		change(&other)
		Expect(poison.Identify(other)).NotTo(Equal(poison.Identify(request)))
	},
		Entry("of another caller", func(parts *poison.Parts) { parts.Caller = "10.0.0.2:4000" }),
		Entry("with another method", func(parts *poison.Parts) { parts.Method = "PUT" }),
		Entry("to another host", func(parts *poison.Parts) { parts.Domain = "i.example" }),
		Entry("with another query", func(parts *poison.Parts) { parts.Path = "/a/b?d" }),
		Entry("with another body", func(parts *poison.Parts) { parts.Body = []byte("xz") }),
		Entry("where a part ends elsewhere", func(parts *poison.Parts) { parts.Domain, parts.Path = "h.example/", "a/b?c" }),
	)

	// Logs tell by them what of a request differs from send to send.
	It("has digests of its caller and its body apart", func() {
		other := request
		other.Caller = "10.0.0.2:4000"
		Expect(other.Digests().Caller).NotTo(Equal(request.Digests().Caller))
		Expect(other.Digests().Body).To(Equal(request.Digests().Body))
		other.Body = []byte("xz")
		Expect(other.Digests().Body).NotTo(Equal(request.Digests().Body))
	})

	It("is read back from its text, and from no other", func() {
		identity := poison.Identify(request)
		Expect(poison.ParseIdentity(identity.String())).To(Equal(identity))
		_, err := poison.ParseIdentity("00ff")
		Expect(err).To(MatchError(poison.ErrIdentity))
	})
})
