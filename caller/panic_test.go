package caller_test

import (
	"bufio"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a request under which the program panics", func() {
	// One caller's request meets a fault of ours. The process ended with all that it held, and the request came again at
	// the next host, as one that ends upstreams does. The handler's panic was passed on to the goroutine's end.
	It("loses its own connection, and no other request of the host", func() {
		working := make(chan struct{})
		_, connect := serve(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/deadly" {
				panic("a fault")
			}
			<-working
			echo(writer, request)
		})
		beside, deadly := connect(), connect()
		send(beside, "GET /beside HTTP/1.1\r\nHost: h\r\n\r\n")
		send(deadly, "GET /deadly HTTP/1.1\r\nHost: h\r\n\r\n")
		_, err := http.ReadResponse(bufio.NewReader(deadly), nil)
		Expect(err).To(HaveOccurred())
		close(working)
		status, body, _ := answer(bufio.NewReader(beside))
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(HavePrefix("GET /beside"))
	})
})
