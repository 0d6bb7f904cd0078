package caller_test

import (
	"bufio"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a request whose handler panics", func() {
	// Guards against one request that crashes host after host: an unrecovered panic in its handler ends the process with
	// all its requests, and the caller sends the request again to the next host.
	It("loses only its own connection, and no other request of the host", func() {
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
		status, body, _ := readAnswer(bufio.NewReader(beside))
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(HavePrefix("GET /beside"))
	})
})
