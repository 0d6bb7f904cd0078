package watch

import (
	"sync"

	"cherrykeel"
)

// newest keeps where the newest change of a view stands, and tells the changes that this host has read itself.
type newest struct {
	// mutex guards the offset, and the state of the view that has it.
	mutex  sync.Mutex
	offset int64
	tell   func(record cherrykeel.KeyedRecord)
}

func newNewest(tell func(record cherrykeel.KeyedRecord)) newest {
	return newest{offset: -1, tell: tell}
}

// Offset returns where the newest change stands, or -1.
func (newest *newest) Offset() int64 {
	newest.mutex.Lock()
	defer newest.mutex.Unlock()
	return newest.offset
}

// pass is called with newest.mutex held.
func (newest *newest) pass(offset int64) {
	newest.offset = max(newest.offset, offset)
}

// tellRead tells records, unless they were told to this host.
func (newest *newest) tellRead(update Update, records ...cherrykeel.KeyedRecord) {
	if update.FromPeer {
		return
	}
	for _, record := range records {
		newest.tell(record)
	}
}
