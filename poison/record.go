package poison

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// sameCrashWithin is within what two hosts see one end of an upstream, each by its own time of day. Upstreams take some
	// seconds to come back, and one that does not say when it was born may end again under its name.
	sameCrashWithin = 2 * time.Second
	// maxCrashes bounds the ends that are kept of one request; hosts refuse it long before.
	maxCrashes = 16
	// maxCallers bounds the callers' marks that are kept of one end; an upstream has few copies of one request at once.
	maxCallers = 16
)

// ErrMalformedRecord means that a record cannot be read.
var ErrMalformedRecord = errors.New("no record of a request")

// Crash is an end of an upstream at which a request was at work.
type Crash struct {
	Incarnation
	// SeenAt is in Unix milliseconds on the clock of the host that saw it first.
	SeenAt int64 `json:"At"`
	// SentAt is when the last copy of the request was sent that was at work there, in Unix milliseconds; 0 if not told.
	SentAt int64 `json:"Begun,omitempty"`
	// Answered says that an upstream has answered the request since, whoever sent it. The end counts for no caller
	// then but those whose own request was at work.
	Answered bool `json:"Withdrawn,omitempty"`
	// Callers are the marks of those whose request was at work; true says that an upstream has answered them since.
	Callers map[CallerFingerprint]bool `json:",omitempty"`
}

// isSame reports whether two hosts mean the same end. A life that is told apart by its birth has one; of an upstream that
// does not say when it was born, ends that lie near each other are taken for one.
func (end Crash) isSame(other Crash) bool {
	apart := time.Duration(max(end.SeenAt-other.SeenAt, other.SeenAt-end.SeenAt)) * time.Millisecond
	return end.Incarnation == other.Incarnation && (end.StartedAt != 0 || apart < sameCrashWithin)
}

// Record is what is known of one request. Records are merged end by end, so that it does not matter in what order,
// how often, or by which way they come.
type Record struct {
	Fingerprint Fingerprint `json:"-"`
	Service     string
	Crashes     []Crash `json:"Ends"`
}

// DecodeRecord reads a record; ErrRecord says that it is none.
func DecodeRecord(key string, value []byte) (Record, error) {
	identity, err := ParseFingerprint(key)
	if err != nil {
		return Record{}, err
	}
	record := Record{Fingerprint: identity}
	err = json.Unmarshal(value, &record)
	if err != nil {
		return Record{}, errors.Wrap(ErrMalformedRecord, err.Error())
	}
	if len(record.Crashes) == 0 || len(record.Crashes) > maxCrashes {
		return Record{}, errors.Wrapf(ErrMalformedRecord, "%d ends", len(record.Crashes))
	}
	for _, end := range record.Crashes {
		if len(end.Callers) > maxCallers {
			return Record{}, errors.Wrapf(ErrMalformedRecord, "%d callers at an end", len(end.Callers))
		}
	}
	return record, nil
}

// Encode returns the record's value; its key is the identity.
func (record *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(record)
	return data, errors.WithStack(err)
}

// UnansweredCrashes returns the ends that count whoever sends the request.
func (record *Record) UnansweredCrashes() []Crash {
	var standing []Crash
	for _, end := range record.Crashes {
		if !end.Answered {
			standing = append(standing, end)
		}
	}
	return standing
}

// lastSeenAt is when the record's last end was seen.
func (record *Record) lastSeenAt() int64 {
	newest := int64(0)
	for _, end := range record.Crashes {
		newest = max(newest, end.SeenAt)
	}
	return newest
}

// addCrash takes an end and reports whether it says anything new. What is withdrawn stays so, whatever comes late.
func (record *Record) addCrash(end Crash) bool {
	known := slices.IndexFunc(record.Crashes, end.isSame)
	if known >= 0 {
		return record.Crashes[known].merge(end)
	}
	end.Callers = maps.Clone(end.Callers)
	record.Crashes = append(record.Crashes, end)
	if len(record.Crashes) > maxCrashes {
		record.dropOldestCrash()
	}
	return true
}

func (record *Record) dropOldestCrash() {
	oldest := 0
	for i, end := range record.Crashes {
		if end.SeenAt < record.Crashes[oldest].SeenAt {
			oldest = i
		}
	}
	record.Crashes = slices.Delete(record.Crashes, oldest, oldest+1)
}

// NeedsMerge reports whether another record of the request says anything that this one does not.
func (record *Record) NeedsMerge(other Record) bool {
	copied := record.clone()
	for _, end := range other.Crashes {
		if copied.addCrash(end) {
			return true
		}
	}
	return false
}

// markAnswered takes it that a caller has had a good answer, and reports whether that is news of any end.
func (record *Record) markAnswered(marks []CallerFingerprint) bool {
	news := false
	for i := range record.Crashes {
		end := &record.Crashes[i]
		news = news || !end.Answered
		end.Answered = true
		for _, mark := range marks {
			if end.countsAgainst(mark) {
				end.Callers[mark] = true
				news = true
			}
		}
	}
	return news
}

// clone returns a copy that later changes do not touch.
func (record *Record) clone() Record {
	copied := *record
	copied.Crashes = slices.Clone(record.Crashes)
	for i := range copied.Crashes {
		copied.Crashes[i].Callers = maps.Clone(copied.Crashes[i].Callers)
	}
	return copied
}

// MergeRecord merges what is told into a map of records by identity, and returns a new map; those that are too old at the
// time of telling are left out, and beyond a bound those that say least. Equal maps and equal words make equal maps.
func MergeRecord(records map[string]Record, told Record, now int64) map[string]Record {
	table := NewTable()
	for key, record := range records {
		identity, err := ParseFingerprint(key)
		if err == nil {
			record.Fingerprint = identity
			_, _ = table.Merge(record, now)
		}
	}
	_, _ = table.Merge(told, now)
	folded := make(map[string]Record, len(table.records))
	for identity, record := range table.records {
		folded[identity.String()] = *record
	}
	return folded
}
