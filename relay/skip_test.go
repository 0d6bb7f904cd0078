package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/conns"
)

// namedDialect reads which request an answer names, and takes each answer for signed.
type namedDialect struct{ emptyDialect }

func (namedDialect) ReadReply(status int, header http.Header) cherrykeel.ReplyHeaders {
	return cherrykeel.ReplyHeaders{ID: header.Get("Request-Id"), Signed: true, NotRun: status == http.StatusServiceUnavailable}
}

var _ = Describe("an answer of another request where the request's own is due", func() {
	answer := func(id string, status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d \r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
	}

	// Guards against payments whose own answer follows and is not read, and against waiting for one that does not come, or
	// taking another request's for it.
	DescribeTable("is skipped", func(sent string, expected outcome, body string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, sent)
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}()
		relay := New(Settings{Clock: cherrykeel.SystemClock(), Dialect: namedDialect{}, Pool: conns.NewPool(), Logger: zap.NewNop(), Scope: tally.NoopScope})
		result := attemptAt(relay, listener.Addr().String())
		Expect(result.outcome).To(Equal(expected))
		Expect(result.unanswered).To(BeFalse(), "the connection did not break")
		if expected == answered {
			Expect(string(result.body)).To(Equal(body))
		}
	},
		Entry("before the own one", answer("q", 200, "another")+answer("r", 200, "own"), answered, "own"),
		Entry("one that names no request, before the own one", answer("", 200, "nobody's")+answer("r", 200, "own"), answered, "own"),
		Entry("a refusal that names no request, before the own one", answer("", 503, "")+answer("r", 200, "own"), answered, "own"),
		Entry("one that names no request, with nothing behind it", answer("", 503, ""), outcomeUnknown, ""),
		Entry("the head of one, whose body is the own one", "HTTP/1.1 503 \r\nContent-Length: 20\r\n\r\n"+answer("r", 200, "own"), outcomeUnknown, ""),
		Entry("a refusal before the own one", answer("q", 503, "")+answer("r", 200, "own"), answered, "own"),
		Entry("two before the own one", answer("p", 200, "")+answer("q", 200, "another")+answer("r", 200, "own"), answered, "own"),
		Entry("three before the own one, which is too many", answer("p", 200, "")+answer("q", 200, "")+answer("p", 200, "")+answer("r", 200, "own"), outcomeUnknown, ""),
		Entry("with nothing behind it", answer("q", 200, "another"), outcomeUnknown, ""),
		Entry("with a refusal that names no request behind it", answer("q", 200, "another")+answer("", 503, ""), outcomeUnknown, ""),
		Entry("with bytes behind it that are no answer", answer("q", 200, "another")+"220 hello\r\n\r\n", outcomeUnknown, ""),
		Entry("with a body that is too long to skip", answer("q", 200, strings.Repeat("x", maxSkippedBytes+1))+answer("r", 200, "own"), outcomeUnknown, ""),
		Entry("without a length, so that nothing can follow", "HTTP/1.1 200 OK\r\nRequest-Id: q\r\n\r\n"+answer("r", 200, "own"), outcomeUnknown, ""),
	)
})
