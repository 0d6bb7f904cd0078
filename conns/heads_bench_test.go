package conns

import (
	"net"
	"net/http"
	"testing"
)

// repeatedAnswer is a connection from which the same bytes come again and again.
type repeatedAnswer struct {
	net.Conn
	bytes string
	left  string
}

func (repeatedAnswer *repeatedAnswer) Read(buffer []byte) (int, error) {
	if repeatedAnswer.left == "" {
		repeatedAnswer.left = repeatedAnswer.bytes
	}
	count := copy(buffer, repeatedAnswer.left)
	repeatedAnswer.left = repeatedAnswer.left[count:]
	return count, nil
}

// BenchmarkReadHead measures the read of a usual head.
func BenchmarkReadHead(b *testing.B) {
	head := "HTTP/1.1 200 OK\r\nDate: Thu, 01 Jan 1970 00:00:00 GMT\r\nX-Request: 9c41d07be2a35f68\r\nX-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"X-Load: 3,0,8\r\nX-Instance: i-7f3a91c2\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n"
	conn := newConn("", &repeatedAnswer{bytes: head})
	request, _ := http.NewRequest(http.MethodGet, "http://h/", nil)
	b.ReportAllocs()
	for b.Loop() {
		_, err := conn.readHead(request)
		if err != nil {
			b.Fatal(err)
		}
	}
}
