package fakes

import (
	"encoding/json"
	"net/http"
)

// writeJSON answers with a value as JSON.
func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// readJSON decodes the request's body into value. It answers with 400 and returns false if that fails.
func readJSON(writer http.ResponseWriter, request *http.Request, value any) bool {
	err := json.NewDecoder(request.Body).Decode(value)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// abort ends the handler by a panic that makes net/http close the connection without an answer.
func abort() {
	panic(http.ErrAbortHandler)
}
