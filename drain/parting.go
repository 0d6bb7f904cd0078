package drain

import (
	"net/http"
	"sync/atomic"
)

// closingHandler lets each answer of a stopping server end its connection, so that the caller's next request goes elsewhere.
type closingHandler struct {
	handler  http.Handler
	stopping *atomic.Bool
}

// ServeHTTP implements http.Handler.
func (parting *closingHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	answer := &closingWriter{ResponseWriter: writer, stopping: parting.stopping}
	parting.handler.ServeHTTP(answer, request)
	answer.finish()
}

// closingWriter looks when the answer is written: a request that was running when the stop began would else leave its
// connection open, to be closed under the caller's next request.
type closingWriter struct {
	http.ResponseWriter
	stopping    *atomic.Bool
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (writer *closingWriter) WriteHeader(status int) {
	if !writer.wroteHeader && writer.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	writer.wroteHeader = true
	writer.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (writer *closingWriter) Write(data []byte) (int, error) {
	if !writer.wroteHeader {
		writer.WriteHeader(http.StatusOK)
	}
	return writer.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController reach the writer below.
func (writer *closingWriter) Unwrap() http.ResponseWriter {
	return writer.ResponseWriter
}

// finish writes the head of an answer of which the handler has written nothing.
func (writer *closingWriter) finish() {
	if !writer.wroteHeader {
		writer.WriteHeader(http.StatusOK)
	}
}
