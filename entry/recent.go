package entry

import (
	"sync"

	"cherrykeel"
)

// maxRepeatedChanges is how many changes of the table one announcement contains, the newest one included: a host that
// misses an announcement receives its change with the next one, usually within 100 ms, and need not read the store.
const maxRepeatedChanges = 3

// maxRepeatedBytes bounds the changes in one announcement: a claim changes the fence of every span, which is 30 KB with
// 231 upstreams.
const maxRepeatedBytes = 8 << 10

// recentChanges holds the last changes that were announced, each of which is based on the one before.
type recentChanges struct {
	mutex sync.Mutex
	// previousVersion is the version that the first change is based on.
	previousVersion int64
	records         []cherrykeel.KeyedRecord
}

// add adds a change that is based on the version before, and returns the changes to announce and the version that the
// first of them is based on.
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
