package poison_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/poison"
)

var _ = Describe("a request's identity", func() {
	request := poison.RequestParts{Method: "GET", Domain: "h.example", Path: "/a/b?c", CallerAddress: "10.0.0.1:4000", Body: []byte("xy")}

	// A caller sends a request again after it has failed: on another connection, so from another port.
	It("is the same from another port of its caller", func() {
		again := request
		again.CallerAddress = "10.0.0.1:4001"
		Expect(poison.FingerprintOf(again)).To(Equal(poison.FingerprintOf(request)))
		Expect(again.CallerFingerprints()).To(Equal(request.CallerFingerprints()))
	})

	DescribeTable("is another one", func(change func(parts *poison.RequestParts)) {
		other := request
		change(&other)
		Expect(poison.FingerprintOf(other)).NotTo(Equal(poison.FingerprintOf(request)))
	},
		Entry("with another method", func(parts *poison.RequestParts) { parts.Method = "PUT" }),
		Entry("to another host", func(parts *poison.RequestParts) { parts.Domain = "i.example" }),
		Entry("with another query", func(parts *poison.RequestParts) { parts.Path = "/a/b?d" }),
		Entry("for another key", func(parts *poison.RequestParts) { parts.Key = "7" }),
		Entry("with another body", func(parts *poison.RequestParts) { parts.Body = []byte("xz") }),
		Entry("where a part ends elsewhere", func(parts *poison.RequestParts) { parts.Domain, parts.Path = "h.example/", "a/b?c" }),
	)

	// Guards against an address that stands for a caller: the same request comes from many.
	It("is the same from another address, which marks it apart", func() {
		other := request
		other.CallerAddress = "10.0.0.2:4000"
		Expect(poison.FingerprintOf(other)).To(Equal(poison.FingerprintOf(request)))
		Expect(other.CallerFingerprints()).NotTo(ContainElement(BeElementOf(request.CallerFingerprints())))
	})

	It("is marked by what its caller shows of itself, at any address", func() {
		known := request
		known.Credentials = "Cookie: session=1"
		elsewhere := known
		elsewhere.CallerAddress = "10.0.0.2:4000"
		Expect(elsewhere.CallerFingerprints()).To(ContainElement(BeElementOf(known.CallerFingerprints())))
		Expect(known.CallerFingerprints()).To(HaveLen(2))
		Expect(request.CallerFingerprints()).To(HaveLen(1), "who shows nothing is no other's match")
	})

	It("is read back from its text, and from no other", func() {
		identity := poison.FingerprintOf(request)
		Expect(poison.ParseFingerprint(identity.String())).To(Equal(identity))
		_, err := poison.ParseFingerprint("00ff")
		Expect(err).To(MatchError(poison.ErrMalformedFingerprint))
	})
})
