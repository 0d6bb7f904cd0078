package tunnel

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"cherrykeel/reach"
)

// ErrMalformed means that a host has sent something that is no message of this protocol.
var ErrMalformed = errors.New("malformed message")

// methodOpen is the method of the call with which a tunnel begins.
const methodOpen = "OpenUpstream"

// maxMessageBytes bounds a message; a call names two hosts and an address.
const maxMessageBytes = 1024

// openCall asks for a connection to an upstream.
type openCall struct {
	// Host and Incarnation name the host that asks.
	Host        string
	Incarnation string
	// Address is the upstream's.
	Address string
	// Order tells that the connection carries orders to the upstream only, such as grants.
	Order bool `json:",omitempty"`
}

// openAnswer answers an openCall.
type openAnswer struct {
	State state
	// Links tells whether the links of the host that answers are the cause. Hosts of earlier builds do not tell.
	Links linksState `json:",omitempty"`
	// MarksEnd tells that the tunnel ends in order only if the upstream has ended the connection in order, and by a reset
	// otherwise, also when the process of this host ends. Hosts of earlier builds do not tell, and do not reset.
	MarksEnd bool `json:",omitempty"`
}

// linksState is the state of a host's links to the upstreams of a service.
type linksState string

// The states of links.
const (
	linksUnknown linksState = ""
	linksWork    linksState = "Work"
	linksLost    linksState = "Lost"
)

// state is the result of an openCall.
type state string

// The results of an openCall.
const (
	stateOpened    state = "Opened"
	stateRefused   state = "Refused"
	stateUnreached state = "Unreached"
	stateStopping  state = "Stopping"
	stateFull      state = "Full"
	stateUnknown   state = "Unknown"
)

// reply returns what an answer means to the host that asked.
func (answer openAnswer) reply() reach.Reply {
	works := answer.Links == linksWork
	switch {
	case answer.State == stateOpened:
		return reach.Opened
	case answer.State == stateRefused && works:
		return reach.Refused
	case answer.State == stateRefused:
		return reach.Unchecked
	case answer.State == stateUnreached && works:
		return reach.Unreached
	case answer.State == stateUnreached:
		return reach.Missing
	default:
		return reach.Declined
	}
}

// writeMessage writes a message behind its length. The bytes that follow a message belong to the upstream, so the reader
// must know where it ends.
func writeMessage(conn net.Conn, message any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return errors.WithStack(err)
	}
	framed := binary.BigEndian.AppendUint16(nil, uint16(len(data)))
	_, err = conn.Write(append(framed, data...))
	return errors.WithStack(err)
}

// readMessage reads one message and no byte behind it.
func readMessage(conn net.Conn, message any) error {
	var length [2]byte
	_, err := io.ReadFull(conn, length[:])
	if err != nil {
		return errors.WithStack(err)
	}
	size := binary.BigEndian.Uint16(length[:])
	if size > maxMessageBytes {
		return errors.Wrap(ErrMalformed, "too long")
	}
	data := make([]byte, size)
	_, err = io.ReadFull(conn, data)
	if err != nil {
		return errors.WithStack(err)
	}
	err = json.Unmarshal(data, message)
	if err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// writeCall writes an openCall.
func writeCall(conn net.Conn, call openCall) error {
	params, err := json.Marshal(call)
	if err != nil {
		return errors.WithStack(err)
	}
	raw := json.RawMessage(params)
	return writeMessage(conn, &jsonrpc2.Request{Method: methodOpen, Params: &raw})
}

// readCall reads an openCall.
func readCall(conn net.Conn) (openCall, error) {
	var request jsonrpc2.Request
	err := readMessage(conn, &request)
	if err != nil {
		return openCall{}, err
	}
	var call openCall
	if request.Method != methodOpen || request.Params == nil || json.Unmarshal(*request.Params, &call) != nil {
		return openCall{}, errors.WithStack(ErrMalformed)
	}
	return call, nil
}

// writeAnswer writes the answer to an openCall.
func writeAnswer(conn net.Conn, answer openAnswer) error {
	result, err := json.Marshal(answer)
	if err != nil {
		return errors.WithStack(err)
	}
	raw := json.RawMessage(result)
	return writeMessage(conn, &jsonrpc2.Response{Result: &raw})
}

// readAnswer reads the answer to an openCall.
func readAnswer(conn net.Conn) (openAnswer, error) {
	var response jsonrpc2.Response
	err := readMessage(conn, &response)
	if err != nil {
		return openAnswer{}, err
	}
	var answer openAnswer
	if response.Result == nil || json.Unmarshal(*response.Result, &answer) != nil {
		return openAnswer{}, errors.WithStack(ErrMalformed)
	}
	return answer, nil
}
