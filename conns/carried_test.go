package conns_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/conns"
)

var _ = Describe("a request that is sent again", func() {
	// serveNumbered answers each request with the numbers of its connection and of the request there.
	serveNumbered := func() string {
		return serveConns(func(number int64, conn *net.TCPConn) {
			reader := bufio.NewReader(conn)
			for count := 1; ; count++ {
				_, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				body := fmt.Sprintf("%d.%d", number, count)
				fmt.Fprintf(conn, "HTTP/1.1 503 \r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
		})
	}
	send := func(pool *conns.Pool, address, id string) string {
		request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		answer, _, err := pool.SendWithOptions(ctx, address, request, conns.SendOptions{MaxIdle: time.Minute, ID: id})
		Expect(err).NotTo(HaveOccurred())
		defer answer.Close()
		body, err := io.ReadAll(answer)
		Expect(err).NotTo(HaveOccurred())
		return string(body)
	}

	// Guards against a second copy of a refusal that is taken for the answer to the repeat, which runs.
	It("does not use a connection that carried it before, and others do", func() {
		pool, address := conns.NewPool(), serveNumbered()
		Expect(send(pool, address, "r1")).To(Equal("1.1"))
		Expect(send(pool, address, "r1")).To(Equal("2.1"))
		Expect(send(pool, address, "r2")).To(Equal("2.2"))
		Expect(send(pool, address, "r1")).To(Equal("3.1"))
		Expect(send(pool, address, "r2")).To(Equal("3.2"))
		Expect(send(pool, address, "")).To(HavePrefix("3."))
		Expect(pool.OpenConns(address)).To(Equal(3))
	})

	// Guards against a repeat that finds no connection, or opens more than the limit, since all idle ones carried it.
	It("takes the place of an idle connection where the limit allows no further one", func() {
		pool, address := conns.NewPool(), serveNumbered()
		pool.SetLimit(address, 1)
		for number := range 5 {
			Expect(send(pool, address, "r1")).To(Equal(fmt.Sprintf("%d.1", number+1)))
			Expect(pool.OpenConns(address)).To(Equal(1))
		}
	})

	// Guards against memory that grows with each request on a connection that is never idle for long, and against a repeat on a
	// connection that has forgotten the first send.
	It("finds no connection that has carried many others since", func() {
		pool, address := conns.NewPool(), serveNumbered()
		for number := range 5000 {
			send(pool, address, fmt.Sprint("r", number))
			Expect(pool.OpenConns(address)).To(BeNumerically("<=", 1))
		}
		Expect(send(pool, address, "q")).To(Equal("5.905"), "a connection carries 1,024")
		Expect(send(pool, address, "r4999")).To(Equal("6.1"))
		Expect(send(pool, address, "r4100")).To(Equal("6.2"))
	})
})

// passedSocket is a connection through another host.
type passedSocket struct {
	*net.TCPConn
	marksEnd bool
}

func (socket passedSocket) Via() string    { return "between" }
func (socket passedSocket) MarksEnd() bool { return socket.marksEnd }

var _ = Describe("an answer without a length", func() {
	// Guards against a part of an answer that counts as the whole: it ends with its connection, and the end of the host in
	// between may look like the upstream's.
	DescribeTable("that comes through another host is taken only if the end shows that it is whole", func(marksEnd bool) {
		address := serveConns(func(_ int64, conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 1024))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody")
			_ = conn.Close()
		})
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			opened, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return passedSocket{TCPConn: opened.(*net.TCPConn), marksEnd: marksEnd}, nil
		}
		progress, err := sendWith(conns.NewPool(conns.WithCloseDelimited(), conns.WithDial(dial)), address, conns.SendOptions{MaxIdle: time.Minute})
		Expect(progress).To(Equal(conns.AnswerBegun))
		if marksEnd {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(MatchError(conns.ErrCloseDelimited))
	},
		Entry("it does", true),
		Entry("it does not", false),
	)
})
