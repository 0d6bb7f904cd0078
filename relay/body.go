package relay

import (
	"io"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"cherrykeel/conns"
	"cherrykeel/memory"
)

const (
	// maxAnswerBytes bounds an answer, which is read whole before it is passed on, so that callers never get a
	// truncated one.
	maxAnswerBytes = 32 << 20
	// minReadBytes and maxFirstReadBytes bound the first buffer for an answer, which doubles when it is full. What an answer
	// states of its length is not believed beyond that: it may send less.
	minReadBytes      = 512
	maxFirstReadBytes = 64 << 10
	// defaultAnswerMemory bounds the answers in memory, in bytes, if Settings.AnswerMemory sets no other limit.
	defaultAnswerMemory = 64 << 20
)

var (
	// errAnswerTooLarge means that an answer has more bytes than any may have.
	errAnswerTooLarge = errors.New("answer too large")
	// errNoAnswerMemory means that the answers in memory leave no room for this one.
	errNoAnswerMemory = errors.New("the host has no memory for the answer")
)

// isEndless reports whether an attempt failed since the upstream sent more bytes than an answer may have.
func isEndless(err error) bool {
	return errors.Is(err, errAnswerTooLarge) || errors.Is(err, errNoAnswerMemory) || errors.Is(err, conns.ErrHeadTooLong) || errors.Is(err, conns.ErrTooLongToSkip)
}

// heldBody reads an answer's body into memory that is shared by all answers of this host. An upstream may send without
// end, on several connections at once.
type heldBody struct {
	memory *memory.Limit
	data   []byte
	// acquired is how many bytes were granted.
	acquired int64
}

// read reads the whole body; length is what its head states, or -1.
func (heldBody *heldBody) read(answer *conns.Answer, length int64) error {
	if length > maxAnswerBytes {
		return errors.WithStack(errAnswerTooLarge)
	}
	err := heldBody.grow(int(min(max(length+1, minReadBytes), maxFirstReadBytes)))
	for err == nil {
		err = heldBody.readSome(answer)
	}
	if err == io.EOF {
		return nil
	}
	return err
}

// readSome reads what fits into the buffer, after it has enlarged a full one.
func (heldBody *heldBody) readSome(answer *conns.Answer) error {
	size := len(heldBody.data)
	if size > maxAnswerBytes {
		return errors.WithStack(errAnswerTooLarge)
	}
	if size == cap(heldBody.data) {
		err := heldBody.grow(size)
		if err != nil {
			return err
		}
	}
	count, err := answer.Read(heldBody.data[size:cap(heldBody.data)])
	heldBody.data = heldBody.data[:size+count]
	return err
}

// grow makes room for more bytes, which have to be granted first.
func (heldBody *heldBody) grow(more int) error {
	if !heldBody.memory.Acquire(heldBody.acquired, int64(more)) {
		return errors.WithStack(errNoAnswerMemory)
	}
	heldBody.acquired += int64(more)
	size := len(heldBody.data)
	heldBody.data = slices.Grow(heldBody.data, more)[: size : size+more]
	return nil
}

// readAnswer reads the whole body of an answer. Its memory is held until the exchange has ended, or the answer turns out
// to be none.
func (exchange *exchange) readAnswer(answer *conns.Answer) ([]byte, error) {
	body := &heldBody{memory: exchange.relay.AnswerMemory}
	length := answer.Length
	if exchange.request.Method == http.MethodHead {
		// It states the length of a body that does not come.
		length = 0
	}
	err := body.read(answer, length)
	if err != nil {
		body.memory.Release(body.acquired)
		return nil, err
	}
	exchange.heldBytes += body.acquired
	return body.data, nil
}

// releaseAnswers gives back the memory of the answers that were read.
func (exchange *exchange) releaseAnswers() {
	exchange.relay.AnswerMemory.Release(exchange.heldBytes)
	exchange.heldBytes = 0
}
