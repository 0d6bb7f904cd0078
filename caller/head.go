package caller

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"cherrykeel/heads"
)

var (
	// ErrMalformed means that the request is not valid HTTP/1, or that two parsers could read it differently.
	ErrMalformed = errors.New("the request is malformed")
	// ErrHeadTooLarge means that the head is larger than the operator allows.
	ErrHeadTooLarge = errors.New("the head of the request is too large")
	// ErrBodyTooLarge means that the body is larger than the operator allows.
	ErrBodyTooLarge = errors.New("the body of the request is too large")
	// ErrNoMemory means that the request bodies in memory leave no room for this one.
	ErrNoMemory = errors.New("the host has no memory for the body")
)

// lengthUnknown is the length of a body that is sent in chunks.
const lengthUnknown = -1

// readHead reads a request's head, including the empty line that ends it.
func readHead(reader *bufio.Reader, limit int) ([]byte, error) {
	var head []byte
	for {
		line, err := reader.ReadSlice('\n')
		head = append(head, line...)
		if len(head) > limit {
			return nil, errors.WithStack(ErrHeadTooLarge)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return head, err
		}
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return nil, errors.Wrap(ErrMalformed, "a line ends without a carriage return")
		}
		if len(line) == 2 && len(head) == 2 {
			// An empty line before the request line is permitted and skipped.
			head = head[:0]
			continue
		}
		if len(line) == 2 {
			return head, nil
		}
	}
}

// parseHead checks a head and returns the request without its body, and the body's length or lengthUnknown.
func parseHead(head []byte) (*http.Request, int64, error) {
	length, err := checkHead(head)
	if err != nil {
		return nil, 0, err
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, 0, errors.Wrap(ErrMalformed, err.Error())
	}
	request.Body = http.NoBody
	return request, length, nil
}

// checkHead refuses heads that parsers are known to read differently, and returns the body's length or lengthUnknown.
func checkHead(head []byte) (int64, error) {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n")
	err := checkRequestLine(lines[0])
	if err != nil {
		return 0, err
	}
	fields := headFields{length: lengthUnknown}
	for _, line := range lines[1:] {
		err := fields.add(line)
		if err != nil {
			return 0, err
		}
	}
	return fields.bodyLength(strings.HasSuffix(lines[0], " HTTP/1.1"))
}

func checkRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) {
		return errors.Wrap(ErrMalformed, "the request line does not consist of a method, a target and a version")
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return errors.Wrap(ErrMalformed, "the version is not HTTP/1")
	}
	if !strings.HasPrefix(parts[1], "/") && parts[1] != "*" {
		return errors.Wrap(ErrMalformed, "the target is not a path")
	}
	for _, char := range []byte(parts[1]) {
		if char <= ' ' || char >= 0x7f {
			return errors.Wrap(ErrMalformed, "the target has bytes that are not printable")
		}
	}
	return nil
}

func isToken(text string) bool {
	return text != "" && strings.IndexFunc(text, func(char rune) bool { return !httpguts.IsTokenRune(char) }) < 0
}

// headFields collects the header fields that determine the body's length and the requested host.
type headFields struct {
	length      int64
	lengthCount int
	chunked     bool
	codingCount int
	hostCount   int
}

func (fields *headFields) add(line string) error {
	field, err := heads.ParseField(line)
	if err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	switch strings.ToLower(field.Name) {
	case "host":
		fields.hostCount++
	case "content-length":
		return fields.addLength(field.Value)
	case "transfer-encoding":
		fields.codingCount++
		fields.chunked = strings.EqualFold(field.Value, "chunked")
	}
	return nil
}

func (fields *headFields) addLength(value string) error {
	fields.lengthCount++
	length, err := strconv.ParseUint(value, 10, 62)
	if err != nil || strings.HasPrefix(value, "+") {
		return errors.Wrap(ErrMalformed, "the Content-Length is not a number")
	}
	fields.length = int64(length)
	return nil
}

func (fields *headFields) bodyLength(hostRequired bool) (int64, error) {
	switch {
	case fields.hostCount > 1 || hostRequired && fields.hostCount == 0:
		return 0, errors.Wrap(ErrMalformed, "the request does not have exactly one Host header")
	case fields.lengthCount > 1:
		return 0, errors.Wrap(ErrMalformed, "the request has more than one Content-Length")
	case fields.lengthCount > 0 && fields.codingCount > 0:
		return 0, errors.Wrap(ErrMalformed, "the request has both a Content-Length and a Transfer-Encoding")
	case fields.codingCount > 1 || fields.codingCount == 1 && !fields.chunked:
		return 0, errors.Wrap(ErrMalformed, "the transfer coding is not chunked")
	case fields.chunked:
		return lengthUnknown, nil
	default:
		return max(0, fields.length), nil
	}
}
