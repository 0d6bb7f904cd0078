package host

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHost(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "host")
}

var _ = Describe("a stopping host", func() {
	// A request runs when the host is told to stop, and ends after the balancer has been given its time. Its
	// connection is idle then and is closed; a caller that was not told sends its next request into the close
	// and gets no answer.
	DescribeTable("tells callers to leave with each answer it writes", func(answer func(http.ResponseWriter)) {
		host := &Host{}
		handler := host.counted(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			host.stopping.Store(true)
			answer(writer)
		}))
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
		Expect(recorder.Header().Get("Connection")).To(Equal("close"))
	},
		Entry("with a status", func(writer http.ResponseWriter) { writer.WriteHeader(http.StatusOK) }),
		Entry("with a body only", func(writer http.ResponseWriter) { _, _ = writer.Write([]byte("x")) }),
	)
})
