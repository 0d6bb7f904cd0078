package entry

import (
	"sync"

	"cherrykeel"
)

// repeatedChanges is how many changes of the table are told together, the newest one included: whoever missed one
// message learns of its change with the next, mostly within 100 ms, and need not read the store.
const maxRepeatedChanges = 3

// repeatedBytes bounds what is repeated: a claim changes the fence of every span, 30 KB of them among 231 upstreams.
const maxRepeatedBytes = 8 << 10

// recentChanges has the last changes that were told, each of which follows the one before.
type recentChanges struct {
	mutex sync.Mutex
	// before is the version that the first of them follows.
	previousVersion int64
	records         []cherrykeel.KeyedRecord
}

// with adds a change that follows a version, and returns what is to be told and the version before all of that.
func (recent *recentChanges) add(record cherrykeel.KeyedRecord, before int64) ([]cherrykeel.KeyedRecord, int64) {
	recent.mutex.Lock()
	defer recent.mutex.Unlock()
	count := len(recent.records)
	if count == 0 || recent.records[count-1].Offset != before {
		recent.records = nil
		recent.previousVersion = before
	}
	recent.records = append(recent.records, record)
	for len(recent.records) > 1 && (len(recent.records) > maxRepeatedChanges || recent.size() > maxRepeatedBytes) {
		recent.previousVersion = recent.records[0].Offset
		recent.records = append([]cherrykeel.KeyedRecord(nil), recent.records[1:]...)
	}
	return append([]cherrykeel.KeyedRecord(nil), recent.records...), recent.previousVersion
}

func (recent *recentChanges) size() int {
	bytes := 0
	for _, record := range recent.records {
		bytes += len(record.Value)
	}
	return bytes
}
