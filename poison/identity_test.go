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
		Expect(again.Marks()).To(Equal(request.Marks()))
	})

	DescribeTable("is another one", func(change func(parts *poison.Parts)) {
		other := request
		change(&other)
		Expect(poison.Identify(other)).NotTo(Equal(poison.Identify(request)))
	},
		Entry("with another method", func(parts *poison.Parts) { parts.Method = "PUT" }),
		Entry("to another host", func(parts *poison.Parts) { parts.Domain = "i.example" }),
		Entry("with another query", func(parts *poison.Parts) { parts.Path = "/a/b?d" }),
		Entry("for another key", func(parts *poison.Parts) { parts.Key = "7" }),
		Entry("with another body", func(parts *poison.Parts) { parts.Body = []byte("xz") }),
		Entry("where a part ends elsewhere", func(parts *poison.Parts) { parts.Domain, parts.Path = "h.example/", "a/b?c" }),
	)

	// Guards against an address that stands for a caller: the same request comes from many.
	It("is the same from another address, which marks it apart", func() {
		other := request
		other.Caller = "10.0.0.2:4000"
		Expect(poison.Identify(other)).To(Equal(poison.Identify(request)))
		Expect(other.Marks()).NotTo(ContainElement(BeElementOf(request.Marks())))
	})

	It("is marked by what its caller shows of itself, at any address", func() {
		known := request
		known.Credentials = "Cookie: session=1"
		elsewhere := known
		elsewhere.Caller = "10.0.0.2:4000"
		Expect(elsewhere.Marks()).To(ContainElement(BeElementOf(known.Marks())))
		Expect(known.Marks()).To(HaveLen(2))
		Expect(request.Marks()).To(HaveLen(1), "who shows nothing is no other's match")
	})

	It("is read back from its text, and from no other", func() {
		identity := poison.Identify(request)
		Expect(poison.ParseIdentity(identity.String())).To(Equal(identity))
		_, err := poison.ParseIdentity("00ff")
		Expect(err).To(MatchError(poison.ErrIdentity))
	})
})
