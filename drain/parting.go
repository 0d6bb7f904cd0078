package drain

import (
	"net/http"
	"sync/atomic"
)

// parting lets each answer of a stopping server end its connection, so that the caller's next request goes elsewhere.
type parting struct {
	handler  http.Handler
	stopping *atomic.Bool
}

// ServeHTTP implements http.Handler.
func (parting *parting) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	answer := &partingWriter{ResponseWriter: writer, stopping: parting.stopping}
	parting.handler.ServeHTTP(answer, request)
	answer.finish()
}

// partingWriter looks when the answer is written: a request that was running when the stop began would else leave its
// connection open, to be closed under the caller's next request.
type partingWriter struct {
	http.ResponseWriter
	stopping *atomic.Bool
	begun    bool
}

// WriteHeader implements http.ResponseWriter.
func (writer *partingWriter) WriteHeader(status int) {
	if !writer.begun && writer.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	writer.begun = true
	writer.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (writer *partingWriter) Write(data []byte) (int, error) {
	if !writer.begun {
		writer.WriteHeader(http.StatusOK)
	}
	return writer.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController reach the writer below.
func (writer *partingWriter) Unwrap() http.ResponseWriter {
	return writer.ResponseWriter
}

// finish writes the head of an answer of which the handler has written nothing.
func (writer *partingWriter) finish() {
	if !writer.begun {
		writer.WriteHeader(http.StatusOK)
	}
}
