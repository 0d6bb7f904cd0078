package poison

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// sameCrashWithin is the difference in time below which two crashes of an upstream that reports no start time are
	// taken for the same one, seen by two hosts with different clocks. Upstreams need some seconds to restart, so a
	// second crash under the same ID comes later than that.
	sameCrashWithin = 2 * time.Second
	// maxCrashes limits the crashes kept of one request. Hosts deny the request long before it has that many.
	maxCrashes = 16
	// maxCallers limits the caller fingerprints kept of one crash. An upstream runs few copies of one request at once.
	maxCallers = 16
)

// ErrMalformedRecord means that a stored or received record cannot be decoded, or exceeds the limits.
var ErrMalformedRecord = errors.New("malformed record of a suspected request")

// Crash is a crash of an upstream while a request was running there.
type Crash struct {
	Incarnation
	// SeenAt is when the crash was seen, in Unix milliseconds by the clock of the host that saw it first.
	SeenAt int64 `json:"At"`
	// SentAt is when the last copy of the request that was running there was sent, in Unix milliseconds; 0 if unknown.
	SentAt int64 `json:"Begun,omitempty"`
	// Answered means that an upstream has answered the request successfully since, for any caller. The crash then counts
	// only against callers whose own copy was running and that have had no successful answer since.
	Answered bool `json:"Withdrawn,omitempty"`
	// Callers has the fingerprints of the callers whose copy was running; true means that an upstream has answered that
	// caller's request successfully since.
	Callers map[CallerFingerprint]bool `json:",omitempty"`
}

// isSame reports whether two hosts saw the same crash. An incarnation with a start time crashes only once. Crashes of
// an upstream without a start time are the same if they are close in time.
func (crash Crash) isSame(other Crash) bool {
	apart := time.Duration(max(crash.SeenAt-other.SeenAt, other.SeenAt-crash.SeenAt)) * time.Millisecond
	return crash.Incarnation == other.Incarnation && (crash.StartedAt != 0 || apart < sameCrashWithin)
}

// Record holds the crashes that were seen while one request was running. Records are merged crash by crash, so that
// their order, their number and the way by which they are received make no difference.
type Record struct {
	// Fingerprint is the record's key, and not part of its value.
	Fingerprint Fingerprint `json:"-"`
	// Service is the request's service.
	Service string
	// Crashes has at most maxCrashes crashes, in no particular order.
	Crashes []Crash `json:"Ends"`
}

// DecodeRecord decodes a record from its key, which is the fingerprint, and its JSON value. The error wraps
// ErrMalformedFingerprint or ErrMalformedRecord.
func DecodeRecord(key string, value []byte) (Record, error) {
	fingerprint, err := ParseFingerprint(key)
	if err != nil {
		return Record{}, err
	}
	record := Record{Fingerprint: fingerprint}
	err = json.Unmarshal(value, &record)
	if err != nil {
		return Record{}, errors.Wrap(ErrMalformedRecord, err.Error())
	}
	if len(record.Crashes) == 0 || len(record.Crashes) > maxCrashes {
		return Record{}, errors.Wrapf(ErrMalformedRecord, "%d crashes", len(record.Crashes))
	}
	for _, crash := range record.Crashes {
		if len(crash.Callers) > maxCallers {
			return Record{}, errors.Wrapf(ErrMalformedRecord, "%d callers in one crash", len(crash.Callers))
		}
	}
	return record, nil
}

// Encode returns the record's JSON value. It does not contain the fingerprint, which is the record's key.
func (record *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(record)
	return data, errors.WithStack(err)
}

// UnansweredCrashes returns the crashes after which no upstream has answered the request successfully. They count
// against all callers.
func (record *Record) UnansweredCrashes() []Crash {
	var unanswered []Crash
	for _, crash := range record.Crashes {
		if !crash.Answered {
			unanswered = append(unanswered, crash)
		}
	}
	return unanswered
}

// lastSeenAt returns when the latest crash was seen, in Unix milliseconds.
func (record *Record) lastSeenAt() int64 {
	latest := int64(0)
	for _, crash := range record.Crashes {
		latest = max(latest, crash.SeenAt)
	}
	return latest
}

// addCrash adds a crash or merges it into the same one, and reports whether that changed the record. A crash that is
// marked as answered stays so, whatever is received later.
func (record *Record) addCrash(crash Crash) bool {
	known := slices.IndexFunc(record.Crashes, crash.isSame)
	if known >= 0 {
		return record.Crashes[known].merge(crash)
	}
	crash.Callers = maps.Clone(crash.Callers)
	record.Crashes = append(record.Crashes, crash)
	if len(record.Crashes) > maxCrashes {
		record.dropOldestCrash()
	}
	return true
}

func (record *Record) dropOldestCrash() {
	oldest := 0
	for i, crash := range record.Crashes {
		if crash.SeenAt < record.Crashes[oldest].SeenAt {
			oldest = i
		}
	}
	record.Crashes = slices.Delete(record.Crashes, oldest, oldest+1)
}

// NeedsMerge reports whether merging another record of the request would change this one.
func (record *Record) NeedsMerge(other Record) bool {
	copied := record.clone()
	for _, crash := range other.Crashes {
		if copied.addCrash(crash) {
			return true
		}
	}
	return false
}

// markAnswered marks every crash as answered, for all callers and for those given, and reports whether that changed
// the record.
func (record *Record) markAnswered(callers []CallerFingerprint) bool {
	changed := false
	for i := range record.Crashes {
		crash := &record.Crashes[i]
		changed = changed || !crash.Answered
		crash.Answered = true
		for _, caller := range callers {
			if crash.countsAgainst(caller) {
				crash.Callers[caller] = true
				changed = true
			}
		}
	}
	return changed
}

// withdraw marks the crashes of an incarnation as answered for everyone, and reports whether that changed the record.
func (record *Record) withdraw(incarnation Incarnation) bool {
	changed := false
	for i := range record.Crashes {
		crash := &record.Crashes[i]
		if crash.Incarnation != incarnation {
			continue
		}
		changed = changed || !crash.Answered
		crash.Answered = true
		for caller := range crash.Callers {
			crash.Callers[caller] = true
		}
	}
	return changed
}

// clone returns a deep copy.
func (record *Record) clone() Record {
	copied := *record
	copied.Crashes = slices.Clone(record.Crashes)
	for i := range copied.Crashes {
		copied.Crashes[i].Callers = maps.Clone(copied.Crashes[i].Callers)
	}
	return copied
}

// MergeRecord merges a received record into a map of records by fingerprint and returns a new map. Records that have
// expired at the given time, in Unix milliseconds, are left out; above the table's limits, so are those with the fewest
// crashes. The result depends only on the arguments, so that hosts that fold the same log have equal maps.
func MergeRecord(records map[string]Record, received Record, now int64) map[string]Record {
	table := NewTable()
	for key, record := range records {
		fingerprint, err := ParseFingerprint(key)
		if err == nil {
			record.Fingerprint = fingerprint
			_, _ = table.Merge(record, now)
		}
	}
	_, _ = table.Merge(received, now)
	merged := make(map[string]Record, len(table.records))
	for fingerprint, record := range table.records {
		merged[fingerprint.String()] = *record
	}
	return merged
}
