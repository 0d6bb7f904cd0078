package poison_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/poison"
)

var _ = Describe("a request's fingerprint", func() {
	request := poison.RequestParts{Method: "GET", Domain: "h.example", Path: "/a/b?c", CallerAddress: "10.0.0.1:4000", Body: []byte("xy")}

	// A caller repeats a failed request on another connection, and so from another port.
	It("is equal from another port of the caller, and so are the caller's fingerprints", func() {
		again := request
		again.CallerAddress = "10.0.0.1:4001"
		Expect(poison.FingerprintOf(again)).To(Equal(poison.FingerprintOf(request)))
		Expect(again.CallerFingerprints()).To(Equal(request.CallerFingerprints()))
	})

	DescribeTable("differs", func(change func(requestParts *poison.RequestParts)) {
		other := request
		change(&other)
		Expect(poison.FingerprintOf(other)).NotTo(Equal(poison.FingerprintOf(request)))
	},
		Entry("with another method", func(requestParts *poison.RequestParts) { requestParts.Method = "PUT" }),
		Entry("for another domain", func(requestParts *poison.RequestParts) { requestParts.Domain = "i.example" }),
		Entry("with another query", func(requestParts *poison.RequestParts) { requestParts.Path = "/a/b?d" }),
		Entry("for another key", func(requestParts *poison.RequestParts) { requestParts.Key = "7" }),
		Entry("with another body", func(requestParts *poison.RequestParts) { requestParts.Body = []byte("xz") }),
		Entry("if the parts are split elsewhere", func(requestParts *poison.RequestParts) {
			requestParts.Domain, requestParts.Path = "h.example/", "a/b?c"
		}),
	)

	// Guards against fingerprints that depend on the address: a request that crashes upstreams would never be denied to a
	// caller that changes its address.
	It("is equal from another address, but the caller's fingerprints differ", func() {
		other := request
		other.CallerAddress = "10.0.0.2:4000"
		Expect(poison.FingerprintOf(other)).To(Equal(poison.FingerprintOf(request)))
		Expect(other.CallerFingerprints()).NotTo(ContainElement(BeElementOf(request.CallerFingerprints())))
	})

	It("comes with a caller fingerprint of the credentials that is equal at any address", func() {
		withCredentials := request
		withCredentials.Credentials = "Cookie: session=1"
		elsewhere := withCredentials
		elsewhere.CallerAddress = "10.0.0.2:4000"
		Expect(elsewhere.CallerFingerprints()).To(ContainElement(BeElementOf(withCredentials.CallerFingerprints())))
		Expect(withCredentials.CallerFingerprints()).To(HaveLen(2))
		Expect(request.CallerFingerprints()).To(HaveLen(1), "a caller without credentials matches no other")
	})

	It("is parsed from its text, and from no malformed one", func() {
		fingerprint := poison.FingerprintOf(request)
		Expect(poison.ParseFingerprint(fingerprint.String())).To(Equal(fingerprint))
		_, err := poison.ParseFingerprint("00ff")
		Expect(err).To(MatchError(poison.ErrMalformedFingerprint))
	})
})
