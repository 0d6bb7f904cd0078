package caller

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

var (
	// ErrMalformed means that two parsers could read the request differently, or that it is no HTTP/1 request.
	ErrMalformed = errors.New("the request is malformed")
	// ErrHeadTooLarge means that the head is larger than the operator allows.
	ErrHeadTooLarge = errors.New("the head of the request is too large")
	// ErrBodyTooLarge means that the body is larger than the operator allows.
	ErrBodyTooLarge = errors.New("the body of the request is too large")
	// ErrNoMemory means that the host holds as many bodies as it can.
	ErrNoMemory = errors.New("the host has no room for the body")
)

const lengthUnknown = -1

// readHead reads up to the empty line that ends a head, which it includes.
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

// parseHead checks a head and returns the request without its body, and the body's length.
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

// checkHead refuses what parsers are known to read differently, and returns the body's length.
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
		return errors.Wrap(ErrMalformed, "the request line is not method, target and version")
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return errors.Wrap(ErrMalformed, "the version is not HTTP/1")
	}
	if !strings.HasPrefix(parts[1], "/") && parts[1] != "*" {
		return errors.Wrap(ErrMalformed, "the target is no path")
	}
	for _, one := range []byte(parts[1]) {
		if one <= ' ' || one >= 0x7f {
			return errors.Wrap(ErrMalformed, "the target has bytes that are not printable")
		}
	}
	return nil
}

func isToken(text string) bool {
	return text != "" && strings.IndexFunc(text, func(one rune) bool { return !httpguts.IsTokenRune(one) }) < 0
}

// headFields collects the fields that say where a body ends and who is asked.
type headFields struct {
	length      int64
	lengthCount int
	chunked     bool
	codingCount int
	hostCount   int
}

func (fields *headFields) add(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || !isToken(name) {
		return errors.Wrap(ErrMalformed, "a header's name is not valid")
	}
	value = strings.Trim(value, " \t")
	if !httpguts.ValidHeaderFieldValue(value) {
		return errors.Wrap(ErrMalformed, "a header's value is not valid")
	}
	switch strings.ToLower(name) {
	case "host":
		fields.hostCount++
	case "content-length":
		return fields.addLength(value)
	case "transfer-encoding":
		fields.codingCount++
		fields.chunked = strings.EqualFold(value, "chunked")
	}
	return nil
}

func (fields *headFields) addLength(value string) error {
	fields.lengthCount++
	length, err := strconv.ParseUint(value, 10, 62)
	if err != nil || strings.HasPrefix(value, "+") {
		return errors.Wrap(ErrMalformed, "the length is no number")
	}
	fields.length = int64(length)
	return nil
}

func (fields *headFields) bodyLength(hostNeeded bool) (int64, error) {
	switch {
	case fields.hostCount > 1 || hostNeeded && fields.hostCount == 0:
		return 0, errors.Wrap(ErrMalformed, "the request names not exactly one host")
	case fields.lengthCount > 1:
		return 0, errors.Wrap(ErrMalformed, "the request has more than one length")
	case fields.lengthCount > 0 && fields.codingCount > 0:
		return 0, errors.Wrap(ErrMalformed, "the request has both a length and a transfer coding")
	case fields.codingCount > 1 || fields.codingCount == 1 && !fields.chunked:
		return 0, errors.Wrap(ErrMalformed, "the transfer coding is not chunked")
	case fields.chunked:
		return lengthUnknown, nil
	default:
		return max(0, fields.length), nil
	}
}
