package share

import (
	"encoding/base64"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"cherrykeel"
)

// ErrMalformed means that a datagram is no message of this protocol.
var ErrMalformed = errors.New("malformed message")

// The methods of the protocol.
const (
	methodReport   = "Report"
	methodLoad     = "Load"
	methodSum      = "Sum"
	methodDemand   = "Demand"
	methodAnnounce = "Tell"
)

// Report is what a host tells all others when it changes, and at a slow pace.
type Report struct {
	Host        string
	Incarnation string `json:"Life"`
	// Sequence grows with each message; an older one that comes late is dropped.
	Sequence uint64
	// Term is the newest term of the spans that the host has read since its start, or -1.
	Term int64
	// Offsets has, by topic of the store, where the newest change stands that the host knows.
	Offsets map[string]int64
	// StoreAvailable says that the store serves the host.
	StoreAvailable bool `json:"StoreWell"`
	// Ages has, by topic, how long before this report the host's own last read of it was begun. Together
	// with Offsets it tells how old the receiver's knowledge is; reads longer ago are left out.
	Ages map[string]time.Duration `json:",omitempty"`
	// FinalGrants is told by the keeper of spans, and passed on by the others.
	FinalGrants *FinalGrants `json:"Finals,omitempty"`
	// Stopped says that this is the host's last word: it has stopped by plan.
	Stopped bool `json:"Ended,omitempty"`
}

// FinalGrants tells of owners that the keeper of a term grants nothing any more.
type FinalGrants struct {
	Term int64
	// EndsWithin is the time from this report in which all that was granted to an owner has surely ended.
	EndsWithin map[string]time.Duration `json:"Within"`
	// Departed are owners that leave and answer nothing any more.
	Departed []string `json:",omitempty"`
}

// Counts are requests at upstreams and waiting. They are sent most often of all, so upstreams and services
// stand in them by their Short names.
type Counts struct {
	// Running counts requests at each upstream.
	Running map[string]int `json:",omitempty"`
	// Waiting counts waiting requests by owner, Queued those by service.
	Waiting map[string]int `json:",omitempty"`
	Queued  map[string]int `json:",omitempty"`
}

func newCounts() Counts {
	return Counts{Running: map[string]int{}, Waiting: map[string]int{}, Queued: map[string]int{}}
}

func (counts *Counts) add(other Counts, times int) {
	addScaled(counts.Running, other.Running, times)
	addScaled(counts.Waiting, other.Waiting, times)
	addScaled(counts.Queued, other.Queued, times)
}

func addScaled(sums, counts map[string]int, times int) {
	for name, count := range counts {
		sum := sums[name] + times*count
		sums[name] = sum
		if sum <= 0 {
			delete(sums, name)
		}
	}
}

// Load is a host's present work.
type Load struct {
	Host        string
	Incarnation string `json:"Life"`
	Sequence    uint64
	Counts
}

// Sum is what all hosts of a group do, as the group's head told.
type Sum struct {
	Host        string
	Incarnation string `json:"Life"`
	Group       string
	Sequence    uint64
	Counts
	// IncludedSequences has, by the members' Short names, the Sequence of each one's load that is in the sum.
	IncludedSequences map[string]uint64 `json:"Included,omitempty"`
}

// shortBytes makes short names of 4 characters: among 400 upstreams two share one in 1 case of 200, and
// then each is counted with the other's requests too.
const shortNameBytes = 3

// ShortName returns a name's short form.
func ShortName(name string) string {
	hash := xxhash.Sum64String(name)
	bytes := []byte{byte(hash), byte(hash >> 8), byte(hash >> 16)}
	return base64.RawURLEncoding.EncodeToString(bytes[:shortNameBytes])
}

// ShortenKeys returns counts by short names.
func ShortenKeys(counts map[string]int) map[string]int {
	short := make(map[string]int, len(counts))
	for name, count := range counts {
		short[ShortName(name)] += count
	}
	return short
}

// Announcement passes on records that a host has read from the store or written to it.
type Announcement struct {
	Host    string
	Topic   string
	Records []cherrykeel.KeyedRecord
	// PreviousOffset is the offset of the change before these, or NoChange; who does not know it has missed one.
	PreviousOffset int64 `json:"Before"`
	// Forward asks the receiver to pass the message on to the hosts of its group.
	Forward bool `json:",omitempty"`
}

// NoPreviousChange stands for no change before.
const NoPreviousChange = -1

// Demand tells the keeper which keys were asked for since the last one, and how fast their owners are.
type Demand struct {
	Host    string
	Service string
	Keys    []int
	// ProcessingTimes is the mean time that a request takes at each upstream, as the host finds it; only those that
	// changed, or that were not told for a while.
	ProcessingTimes map[string]time.Duration `json:"Work,omitempty"`
}

func encode(method string, message any) ([]byte, error) {
	params, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	raw := json.RawMessage(params)
	data, err := json.Marshal(&jsonrpc2.Request{Method: method, Params: &raw, Notif: true})
	if err != nil {
		return nil, err
	}
	return compress(data)
}

func decode(data []byte) (string, json.RawMessage, error) {
	data, err := decompress(data)
	if err != nil {
		return "", nil, err
	}
	var request jsonrpc2.Request
	err = json.Unmarshal(data, &request)
	if err != nil {
		return "", nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if request.Params == nil {
		return "", nil, errors.Wrap(ErrMalformed, "no parameters")
	}
	return request.Method, *request.Params, nil
}
