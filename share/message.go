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

// TopicSpans names the topic of the table of spans in messages.
const TopicSpans = "spans"

// The methods of the protocol.
const (
	methodReport   = "Report"
	methodLoad     = "Load"
	methodSum      = "Sum"
	methodDemand   = "Demand"
	methodAnnounce = "Tell"
	methodAsks     = "Asks"
	methodPermits  = "Permits"
)

// Report is a host's state that changes slowly; it is sent after each change and at an interval.
type Report struct {
	// Host and Incarnation name the sender.
	Host        string
	Incarnation string `json:"Life"`
	// Sequence grows with each message; an older one that arrives late is dropped.
	Sequence uint64
	// Term is the newest term of the spans that the host has read since its start, or -1.
	Term int64
	// Offsets has, by topic of the store, the offset of the newest change that the host has read.
	Offsets map[string]int64
	// Eras has, by topic, the era of the offset if that is not 0.
	Eras map[string]int64 `json:",omitempty"`
	// KnowsEras is set by hosts that send eras.
	KnowsEras bool `json:"WithEras,omitempty"`
	// StoreAvailable is set while the store serves the host.
	StoreAvailable bool `json:"StoreWell"`
	// Ages has, by topic, how long before this report the host's own last read of it began; reads that are too old are
	// left out. Together with Offsets it shows the receiver how old its own state is.
	Ages map[string]time.Duration `json:",omitempty"`
	// FinalGrants comes from the keeper of spans, and is passed on by the other hosts.
	FinalGrants *FinalGrants `json:"Finals,omitempty"`
	// Stopped marks the last report of a host, sent in its graceful shutdown.
	Stopped bool `json:"Ended,omitempty"`
	// Stopping is set from the beginning of the graceful shutdown on.
	Stopping bool `json:",omitempty"`
	// Unreached has the short names of upstreams that the host does not reach itself, of UnreachedCount ones.
	Unreached      []string `json:",omitempty"`
	UnreachedCount int      `json:",omitempty"`
	// KnowsPermits is set by hosts that send requests to upstreams that name a limit only with permits.
	KnowsPermits bool `json:"Permits,omitempty"`
}

// TableVersion returns the version of the newest table of spans that the host has, or -1.
func (report Report) TableVersion() int64 {
	version, known := report.Offsets[TopicSpans]
	if !known {
		return -1
	}
	return version
}

// FinalGrants names owners whose grants the keeper of a term will not renew.
type FinalGrants struct {
	Term int64
	// EndsWithin is the time from this report after which every grant of an owner has ended.
	EndsWithin map[string]time.Duration `json:"Within"`
	// Departed are owners that leave and do not answer any more.
	Departed []string `json:",omitempty"`
}

// Counts are requests at upstreams and waiting requests. Loads and sums, the messages that are sent most often, consist
// of them, so upstreams and services appear under their short names.
type Counts struct {
	// Running counts requests by upstream.
	Running map[string]int `json:",omitempty"`
	// Waiting counts waiting requests by owner, Queued those by service.
	Waiting map[string]int `json:",omitempty"`
	Queued  map[string]int `json:",omitempty"`
}

func newCounts() Counts {
	return Counts{Running: map[string]int{}, Waiting: map[string]int{}, Queued: map[string]int{}}
}

// add adds other counts the given number of times; -1 subtracts them.
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

// Load is the counts of one host.
type Load struct {
	Host        string
	Incarnation string `json:"Life"`
	Sequence    uint64
	Counts
}

// Sum is the sum of the loads of a group's hosts, sent by the group's aggregator.
type Sum struct {
	Host        string
	Incarnation string `json:"Life"`
	Group       string
	Sequence    uint64
	Counts
	// IncludedSequences has, by the members' short names, the Sequence of each member's load that is in the sum.
	IncludedSequences map[string]uint64 `json:"Included,omitempty"`
}

// shortNameBytes makes short names of 4 characters: among 400 upstreams two have the same one in 1 case of 200, and
// then each is counted with the other's requests too.
const shortNameBytes = 3

// ShortName returns a short form of a name, a hash of it in 4 characters.
func ShortName(name string) string {
	hash := xxhash.Sum64String(name)
	bytes := []byte{byte(hash), byte(hash >> 8), byte(hash >> 16)}
	return base64.RawURLEncoding.EncodeToString(bytes[:shortNameBytes])
}

// ShortenKeys returns the counts by short names.
func ShortenKeys(counts map[string]int) map[string]int {
	short := make(map[string]int, len(counts))
	for name, count := range counts {
		short[ShortName(name)] += count
	}
	return short
}

// Announcement passes on records that a host has read from the store or written to it.
type Announcement struct {
	// Host is the sender. Topic names the kind of the records.
	Host    string
	Topic   string
	Records []cherrykeel.KeyedRecord
	// PreviousOffset is the offset of the change before these records, or NoPreviousChange; a receiver that has not
	// read that change has missed one.
	PreviousOffset int64 `json:"Before"`
	// Eras has the eras of the records and then that of PreviousOffset, if one of them is not 0.
	Eras []int64 `json:",omitempty"`
	// KnowsEras is set by hosts that send eras.
	KnowsEras bool `json:"WithEras,omitempty"`
	// Forward asks the receiver to pass the message on to the hosts of its group.
	Forward bool `json:",omitempty"`
}

// NoPreviousChange is the PreviousOffset of records that do not depend on an earlier change.
const NoPreviousChange = -1

// Demand reports to the keeper which keys of a service were requested since the last report, and the processing times
// of the service's upstreams.
type Demand struct {
	Host    string
	Service string
	Keys    []int
	// ProcessingTimes has the mean processing time of a request by upstream, as this host observes it; only those that
	// have changed or were not sent for a while.
	ProcessingTimes map[string]time.Duration `json:"Work,omitempty"`
}

// encode returns a message as a datagram's content, compressed if it is large.
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

// decode returns a datagram's method and parameters; its error is ErrMalformed.
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
