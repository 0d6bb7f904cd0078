package drain

import (
	"net/http"
	"sync/atomic"
)

// closingHandler makes each answer of a stopping server close its connection, so that the caller sends its next request to
// another host.
type closingHandler struct {
	handler  http.Handler
	stopping *atomic.Bool
	// handling is the number of requests that are being answered.
	handling *atomic.Int64
}

// ServeHTTP implements http.Handler.
func (closingHandler *closingHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	closingHandler.handling.Add(1)
	defer closingHandler.handling.Add(-1)
	answer := &closingWriter{ResponseWriter: writer, stopping: closingHandler.stopping}
	closingHandler.handler.ServeHTTP(answer, request)
	answer.finish()
}

// closingWriter checks whether the server is stopping when the answer is written. A check before the handler runs would
// miss a stop that begins meanwhile; the connection would stay open and be closed under the caller's next request.
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

// Unwrap gives http.ResponseController access to the wrapped writer.
func (writer *closingWriter) Unwrap() http.ResponseWriter {
	return writer.ResponseWriter
}

// finish writes the head of the answer if the handler has written nothing.
func (writer *closingWriter) finish() {
	if !writer.wroteHeader {
		writer.WriteHeader(http.StatusOK)
	}
}
