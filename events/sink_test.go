package events_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cherrykeel/events"
)

func TestEvents(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "events")
}

// stalledOutput blocks writes until it is released.
type stalledOutput struct {
	release chan struct{}
	mutex   sync.Mutex
	buffer  bytes.Buffer
}

func (output *stalledOutput) Write(data []byte) (int, error) {
	<-output.release
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.buffer.Write(data)
}

var _ = Describe("the log", func() {
	// Guards against requests that wait because the reader of the log has stalled: lines that exceed the queue are dropped
	// instead, and their number is written when the reader goes on.
	It("never waits for its reader, and counts the lines that it drops", func() {
		output := &stalledOutput{release: make(chan struct{})}
		sink := events.NewSink(output)
		logger := events.NewLogger(sink, zapcore.InfoLevel)
		for range 10000 {
			events.Log(logger, events.RequestServed)
		}
		Expect(sink.Dropped()).To(BeNumerically(">", 5000))
		close(output.release)
		sink.Close()
		Expect(output.buffer.String()).To(ContainSubstring(events.LinesDropped.Text))
		Expect(strings.Count(output.buffer.String(), "\n")).To(BeNumerically("<", 4200))
	})

	// Guards against a panic, which would end the process, when a goroutine logs after the log was closed.
	It("accepts lines after it was closed, and writes none of them", func() {
		output := &stalledOutput{release: make(chan struct{})}
		close(output.release)
		sink := events.NewSink(output)
		logger := events.NewLogger(sink, zapcore.InfoLevel)
		sink.Close()
		Expect(func() { events.Log(logger, events.RequestServed) }).NotTo(Panic())
		Expect(output.buffer.String()).To(BeEmpty())
	})

	It("writes one JSON line with the event's number and an error's text, not its stack", func() {
		var buffer bytes.Buffer
		logger := events.NewLogger(zapcore.AddSync(&buffer), zapcore.InfoLevel)
		events.Log(logger, events.TopicUnavailable, zap.Error(errors.New("away")))
		Expect(buffer.String()).To(ContainSubstring(`"Error":"away"`))
		Expect(buffer.String()).To(ContainSubstring(`"Event":605`))
		Expect(buffer.String()).NotTo(ContainSubstring("sink_test.go"))
	})

	It("gives each event a number of its own", func() {
		seen := map[int]bool{}
		for _, event := range events.All {
			Expect(seen).NotTo(HaveKey(event.Number))
			seen[event.Number] = true
		}
	})
})
