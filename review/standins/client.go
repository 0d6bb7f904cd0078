package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client sends requests on a kept connection to one host, one at a time.
type client struct {
	address string
	socket  net.Conn
	reader  *bufio.Reader
}

// result is what a client has seen of a request.
type result struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends a request and reads its answer; a failed connection is opened anew for the next one.
func (client *client) send(method, path, id string, deadline time.Duration, headers string, body string) result {
	if client.socket == nil {
		socket, err := net.DialTimeout("tcp", client.address, time.Second)
		if err != nil {
			return result{err: err}
		}
		client.socket, client.reader = socket, bufio.NewReader(socket)
	}
	_ = client.socket.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s", method, path, id, deadline.Milliseconds(), headers)
	if method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	_, err := io.WriteString(client.socket, text.String())
	if err != nil {
		client.drop()
		return result{err: err}
	}
	response, err := http.ReadResponse(client.reader, &http.Request{Method: method})
	if err != nil {
		client.drop()
		return result{err: err}
	}
	content, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		client.drop()
	}
	return result{status: response.StatusCode, header: response.Header, body: content, err: err}
}

func (client *client) drop() {
	_ = client.socket.Close()
	client.socket = nil
}
