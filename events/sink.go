package events

import (
	"fmt"
	"io"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// sinkLines bounds the lines that are queued for writing: 1.6 MB at 400 bytes per line.
const sinkLines = 4096

// Sink writes log lines from its own goroutine, so that a stalled reader of the output never blocks a request. While
// its queue is full, lines are dropped; their number is written later.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
	output  io.Writer
}

// NewSink returns a sink that writes to output until Close.
func NewSink(output io.Writer) *Sink {
	sink := &Sink{lines: make(chan []byte, sinkLines), closing: make(chan struct{}), done: make(chan struct{}), output: output}
	go sink.run()
	return sink
}

// Write implements io.Writer. It queues the line or drops it, and never waits or fails. After Close, no line is
// written.
func (sink *Sink) Write(line []byte) (int, error) {
	select {
	case sink.lines <- append([]byte(nil), line...):
	default:
		sink.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer and does nothing; Close writes the queued lines.
func (sink *Sink) Sync() error {
	return nil
}

// Close writes the queued lines and returns. Goroutines may still log afterwards, so the channel lines is never closed:
// a send on a closed channel would panic and end the process.
func (sink *Sink) Close() {
	close(sink.closing)
	<-sink.done
}

// Dropped returns the number of lines that were dropped and have not been reported in the output yet.
func (sink *Sink) Dropped() int64 {
	return sink.dropped.Load()
}

// run writes queued lines until Close is called and the queue is empty.
func (sink *Sink) run() {
	defer close(sink.done)
	for {
		select {
		case line := <-sink.lines:
			sink.writeLine(line)
		case <-sink.closing:
			sink.writeRemaining()
			return
		}
	}
}

func (sink *Sink) writeRemaining() {
	for {
		select {
		case line := <-sink.lines:
			sink.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes one line, and after it the number of lines dropped since the last report, if there are any.
func (sink *Sink) writeLine(line []byte) {
	// An error is ignored: if the output fails, there is nowhere to report it.
	_, _ = sink.output.Write(line)
	dropped := sink.dropped.Swap(0)
	if dropped > 0 {
		_, _ = fmt.Fprintf(sink.output, "{\"Level\":\"warn\",\"Text\":%q,\"Event\":%d,\"Lines\":%d}\n", LinesDropped.Text, LinesDropped.Number, dropped)
	}
}

// NewLogger returns a logger that writes lines in JSON, with Pascal case field names, from a level on.
func NewLogger(output zapcore.WriteSyncer, level zapcore.Level) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	encoder.TimeKey = "Time"
	encoder.LevelKey = "Level"
	encoder.MessageKey = "Text"
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), output, level))
}
