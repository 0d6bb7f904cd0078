package heads

import (
	"bytes"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// maxLineBytes bounds a line of a head that has not ended.
const maxLineBytes = 64 << 10

// scanner checks the heads of one request's answer in a stream of bytes: those of informational answers and that of the final
// one. What comes behind it is not looked at.
type scanner struct {
	socket net.Conn
	mutex  sync.Mutex
	answer Answer
	// connection has the values of the final answer's Connection header.
	connection []string
	line       []byte
	ended      bool
	wrong      error
}

// add checks further bytes, and returns what is wrong with those so far.
func (scanner *scanner) add(data []byte) error {
	scanner.mutex.Lock()
	defer scanner.mutex.Unlock()
	for len(data) > 0 && !scanner.ended && scanner.wrong == nil {
		end := bytes.IndexByte(data, '\n') + 1
		if end == 0 {
			scanner.addPart(data)
			break
		}
		scanner.addLine(append(scanner.line, data[:end]...))
		data = data[end:]
	}
	return scanner.wrong
}

// addPart keeps the beginning of a line.
func (scanner *scanner) addPart(part []byte) {
	scanner.line = append(scanner.line, part...)
	if len(scanner.line) > maxLineBytes {
		scanner.wrong = errors.Wrap(ErrMalformed, "a line of the head is too long")
	}
}

func (scanner *scanner) addLine(line []byte) {
	scanner.line = nil
	ended, err := scanner.answer.AddLine(line)
	scanner.wrong = err
	if ended {
		scanner.ended = !scanner.answer.IsInformational()
		scanner.connection = scanner.answer.Connection()
		scanner.answer = Answer{}
	}
}

// restoreConnection returns the Connection header to a parsed head; the library removes all of it if one value says "close".
func (scanner *scanner) restoreConnection(header http.Header) {
	scanner.mutex.Lock()
	defer scanner.mutex.Unlock()
	if len(scanner.connection) > 0 {
		header["Connection"] = scanner.connection
	}
}

// reject records what else is wrong with the answer, unless that is empty, and closes its connection.
func (scanner *scanner) reject(wrong string) {
	if wrong == "" {
		return
	}
	_ = scanner.socket.Close()
	scanner.mutex.Lock()
	defer scanner.mutex.Unlock()
	scanner.wrong = errors.Wrap(ErrMalformed, wrong)
}

// failure returns what is wrong with the bytes so far.
func (scanner *scanner) failure() error {
	scanner.mutex.Lock()
	defer scanner.mutex.Unlock()
	return scanner.wrong
}

// conn is a connection to a server. What it reads is checked by the scanner of the request that it carries, and closes it if
// it is no answer.
type conn struct {
	net.Conn
	mutex   sync.Mutex
	scanner *scanner
}

// begin returns the scanner of another request's answer.
func (conn *conn) begin() *scanner {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.scanner = &scanner{socket: conn.Conn}
	return conn.scanner
}

// Read implements net.Conn.
func (conn *conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.mutex.Lock()
	scanner := conn.scanner
	conn.mutex.Unlock()
	if scanner != nil && scanner.add(buffer[:count]) != nil {
		_ = conn.Conn.Close()
	}
	return count, err
}
