package share

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"cherrykeel"
)

// ErrMessage means that a datagram is no message of this protocol.
var ErrMessage = errors.New("the message cannot be read")

// The methods of the protocol.
const (
	methodReport = "Report"
	methodLoad   = "Load"
	methodDemand = "Demand"
	methodTell   = "Tell"
)

// Report is what a host tells all others when it changes, and at a slow pace.
type Report struct {
	Host string
	Life string
	// Sequence grows with each message; an older one that comes late is dropped.
	Sequence uint64
	// Term is the newest term of the spans that the host has read since its start, or -1.
	Term int64
	// Offsets has, by topic of the store, where the newest change stands that the host knows.
	Offsets map[string]int64
	// StoreWell says that the store serves the host.
	StoreWell bool
}

// Load is a host's present work. It is sent most often of all messages, so it holds nothing else.
type Load struct {
	Host     string
	Sequence uint64
	// Running counts the host's requests at each upstream.
	Running map[string]int `json:",omitempty"`
	// Waiting counts its waiting requests by owner, Queued those by service.
	Waiting map[string]int `json:",omitempty"`
	Queued  map[string]int `json:",omitempty"`
}

// Told passes on records that a host has read from the store or written to it.
type Told struct {
	Host    string
	Topic   string
	Records []cherrykeel.KeyedRecord
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
