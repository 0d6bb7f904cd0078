package fakes

import (
	"encoding/json"
	"net/http"
)

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

func readJSON(writer http.ResponseWriter, request *http.Request, value any) bool {
	err := json.NewDecoder(request.Body).Decode(value)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// abort closes the caller's connection without an answer.
func abort() {
	panic(http.ErrAbortHandler)
}
