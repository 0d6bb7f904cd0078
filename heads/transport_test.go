package heads_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/heads"
)

// serveAnswers answers the requests on all connections with one answer after the other, in pieces of a few bytes, and returns
// the base URL and a counter of the connections.
func serveAnswers(answers ...string) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	var opened, answered atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer conn.Close()
				buffer := make([]byte, 4096)
				for {
					_, err := conn.Read(buffer)
					if err != nil {
						return
					}
					number := int(answered.Add(1)) - 1
					if number >= len(answers) {
						return
					}
					for piece := range strings.SplitSeq(answers[number], "|") {
						_, _ = io.WriteString(conn, piece)
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), &opened
}

var _ = Describe("a transport", func() {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

	get := func(client *http.Client, url string) (string, error) {
		response, err := client.Get(url)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}

	// Guards against the second answer on a kept connection, which is not looked at, and against a request that is sent again
	// after it.
	It("fails with bytes that are no answer on a kept connection, and opens another one", func() {
		url, opened := serveAnswers(good, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", good)
		client := &http.Client{Transport: heads.NewTransport(&http.Transport{})}
		Expect(get(client, url)).To(Equal("ok"))
		_, err := get(client, url)
		Expect(err).To(MatchError(heads.ErrMalformed))
		Expect(opened.Load()).To(Equal(int64(1)))
		Expect(get(client, url)).To(Equal("ok"))
		Expect(opened.Load()).To(Equal(int64(2)))
	})

	// Guards against a body that is taken for a head, and a head that is not known when it comes in pieces.
	It("looks at heads only, however they are cut", func() {
		url, opened := serveAnswers(
			"HTTP/1.1 103 Early\r|\n\r\nHTTP/1|.1 200 OK\r\nContent-|Length: 16\r\n\r|\nHTTP/1.1 000 X\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n000 : x\r\n\r\n0\r\nX-Thing: x\r\n\r\n",
			"HTTP/1.1 200 OK\r\nBad| Name: x\r\nContent-Length: 0\r\n\r\n")
		client := &http.Client{Transport: heads.NewTransport(&http.Transport{})}
		Expect(get(client, url)).To(Equal("HTTP/1.1 000 X\r\n"))
		Expect(get(client, url)).To(Equal("000 : x\r\n"))
		_, err := get(client, url)
		Expect(err).To(MatchError(heads.ErrMalformed))
		Expect(opened.Load()).To(Equal(int64(1)))
	})
})
