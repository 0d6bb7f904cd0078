package edge_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/deny"
	"cherrykeel/edge"
	"cherrykeel/events"
)

// serveHeads answers each request with the same bytes, in which #ID is the request's ID, and returns the address.
func serveHeads(answer string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "#ID", request.Header.Get(cherrykeel.HeaderRequest)))
				_, _ = conn.Read(make([]byte, 1))
			}()
		}
	}()
	return listener.Addr().String()
}

// sendTo forwards one request that may not be repeated to an upstream at an address.
func (host *testHost) sendTo(address string, logger *zap.Logger) (*httptest.ResponseRecorder, *cherrykeel.Failure) {
	sender := addressed{pool: conns.NewPool(), address: address}
	recorder := httptest.NewRecorder()
	exchange := &cherrykeel.Exchange{
		ID: "request", Request: httptest.NewRequest(http.MethodPost, "/", nil), Writer: recorder,
		Service: &cherrykeel.Service{Path: service, Keyed: true, Timeout: requestTimeout, RequireAnswer: true},
		Key:     "key", Partition: partition, Arrived: host.clock.Now(), Deadline: host.clock.Now().Add(requestTimeout),
	}
	denials := deny.New(deny.Settings{Clock: host.clock, Logger: zap.NewNop()})
	return recorder, edge.NewForward(host.fleet, sender, denials, host.clock, logger).Serve(exchange, nil)
}

// addressed is a Sender that sends all requests to one address.
type addressed struct {
	pool    *conns.Pool
	address string
}

func (addressed addressed) SendIfReady(ctx context.Context, _ string, request *http.Request, ready func() bool) (*conns.Answer, conns.Progress, error) {
	return addressed.pool.SendIfReady(ctx, addressed.address, request, ready)
}

var _ = Describe("bytes that look like an answer and are none", func() {
	// A request may run once, and its upstream, which checks no fences, sends such bytes and may still work on it. Guards
	// against a caller that gets them, and against a second owner of the key while the request runs.
	DescribeTable("leave the outcome unknown, and the partition where it is until the deadline", func(answer string) {
		host := newTestHost()
		core, logged := observer.New(zap.InfoLevel)
		recorder, failure := host.sendTo(serveHeads(answer), zap.New(core))
		Expect(failure).NotTo(BeNil())
		Expect(failure.Outcome).To(Equal(cherrykeel.OutcomeUnknown))
		Expect(recorder.Body.String()).To(BeEmpty())
		Expect(host.replaceGrant(2)).To(ConsistOf(partition))
		host.clock.advance(2 * requestTimeout)
		Expect(host.replaceGrant(3)).To(BeEmpty())
		lines := logged.FilterField(zap.Int("Event", events.AnswerMalformed.Number)).All()
		Expect(lines).To(HaveLen(1))
		Expect(lines[0].ContextMap()).To(And(HaveKeyWithValue("Request", "request"), HaveKeyWithValue("Upstream", upstream)))
	},
		Entry("status 000", "HTTP/1.1 000 Broken\r\nCherrykeel-Request: #ID\r\nContent-Length: 2\r\n\r\nok"),
		Entry("version 2.0", "HTTP/2.0 200 OK\r\nCherrykeel-Request: #ID\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\nCherrykeel-Request: #ID\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a control byte in a name", "HTTP/1.1 200 OK\r\nCherrykeel-Request: #ID\r\nBad\x01Name: x\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a blank before the colon of a length", "HTTP/1.1 200 OK\r\nCherrykeel-Request: #ID\r\nContent-Length : 2\r\nContent-Length: 1\r\n\r\nok"),
		Entry("a blank in a name of a refusal", "HTTP/1.1 503 Full\r\nCherrykeel-Request: #ID\r\nCherrykeel-Refused: shed\r\nBad Name: x\r\nContent-Length: 0\r\n\r\n"),
		Entry("a blank in a name of an informational answer", "HTTP/1.1 103 Early\r\nBad Name: x\r\n\r\n"),
		Entry("a blank in a name of a trailer", "HTTP/1.1 200 OK\r\nCherrykeel-Request: #ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: x\r\n\r\n"),
	)

	// Guards against a second owner of a key while the upstream that sends a head without end still runs its request.
	It("leave the partition where it is if their head has no end", func() {
		host := newTestHost()
		_, failure := host.sendTo(serveHeads("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 40<<10)), zap.NewNop())
		Expect(failure).NotTo(BeNil())
		Expect(failure.Outcome).To(Equal(cherrykeel.OutcomeUnknown))
		Expect(host.replaceGrant(2)).To(ConsistOf(partition))
	})

	// Guards against an answer that counts as the request's own by a field which belongs to the connection.
	It("say nothing by fields that the Connection header names", func() {
		host := newTestHost()
		recorder, failure := host.sendTo(serveHeads("HTTP/1.1 200 OK\r\nConnection: Cherrykeel-Request\r\nCherrykeel-Request: #ID\r\nContent-Length: 2\r\n\r\nok"), zap.NewNop())
		Expect(failure).NotTo(BeNil())
		Expect(failure.Outcome).To(Equal(cherrykeel.OutcomeUnknown))
		Expect(recorder.Body.String()).To(BeEmpty())
	})

	// Guards against rare answers that are given up though they are proper.
	It("are not rare ones that are proper", func() {
		host := newTestHost()
		recorder, failure := host.sendTo(serveHeads("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 299\r\nCherrykeel-Request: #ID\r\nContent-Length: 2\r\n\r\nok"), zap.NewNop())
		Expect(failure).To(BeNil())
		Expect(recorder.Code).To(Equal(299))
		Expect(recorder.Body.String()).To(Equal("ok"))
	})
})
