package share

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// ErrMessage means that a datagram is no message of this protocol.
var ErrMessage = errors.New("the message cannot be read")

// The methods of the protocol.
const (
	methodReport = "Report"
	methodDemand = "Demand"
)

// Report is what a host tells all others some times a second.
type Report struct {
	Host string
	Life string
	// Sequence grows with each report; an older one that comes late is dropped.
	Sequence uint64
	// Term is the newest term of the spans that the host has read since its start, or -1.
	Term int64
	// Running counts the host's requests at each upstream.
	Running map[string]int `json:",omitempty"`
	// Waiting counts its waiting requests by owner, Queued those by service.
	Waiting map[string]int `json:",omitempty"`
	Queued  map[string]int `json:",omitempty"`
}

// Demand tells the keeper which keys were asked for since the last one.
type Demand struct {
	Host    string
	Service string
	Keys    []int
}

func encode(method string, message any) ([]byte, error) {
	params, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	raw := json.RawMessage(params)
	return json.Marshal(&jsonrpc2.Request{Method: method, Params: &raw, Notif: true})
}

func decode(data []byte) (string, json.RawMessage, error) {
	var request jsonrpc2.Request
	err := json.Unmarshal(data, &request)
	if err != nil {
		return "", nil, errors.Wrap(ErrMessage, err.Error())
	}
	if request.Params == nil {
		return "", nil, errors.Wrap(ErrMessage, "no parameters")
	}
	return request.Method, *request.Params, nil
}
