package events

import (
	"fmt"
	"io"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// sinkLines bounds the lines that wait to be written: at 400 bytes a line, 1.6 MB.
const sinkLines = 4096

// Sink writes log lines from a goroutine of its own, so that a reader that stalls never holds up a
// request. When it is full, lines are dropped and their number is written later.
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

// Write implements io.Writer; it never waits and never fails. After Close it writes nothing.
func (sink *Sink) Write(line []byte) (int, error) {
	select {
	case sink.lines <- append([]byte(nil), line...):
	default:
		sink.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (sink *Sink) Sync() error {
	return nil
}

// Close writes what waits. Goroutines that outlive it may go on logging: lines is never closed, since a line written
// then would end the process.
func (sink *Sink) Close() {
	close(sink.closing)
	<-sink.done
}

// Dropped returns how many lines were dropped and not reported yet.
func (sink *Sink) Dropped() int64 {
	return sink.dropped.Load()
}

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

func (sink *Sink) writeLine(line []byte) {
	// Nothing is left to tell when the output itself fails.
	_, _ = sink.output.Write(line)
	dropped := sink.dropped.Swap(0)
	if dropped > 0 {
		_, _ = fmt.Fprintf(sink.output, "{\"Level\":\"warn\",\"Text\":%q,\"Event\":%d,\"Lines\":%d}\n", LinesDropped.Text, LinesDropped.Number, dropped)
	}
}

// NewLogger returns a logger of JSON lines in Pascal case.
func NewLogger(output zapcore.WriteSyncer, level zapcore.Level) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	encoder.TimeKey = "Time"
	encoder.LevelKey = "Level"
	encoder.MessageKey = "Text"
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), output, level))
}
