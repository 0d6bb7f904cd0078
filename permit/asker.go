package permit

import (
	"time"

	"cherrykeel"
)

const (
	// askInterval is the interval of asks that say the same: a lost one costs that time.
	askInterval = 100 * time.Millisecond
	// wordWithin is how long after an ask a reply must have come. After that the host uses its even part.
	wordWithin = 300 * time.Millisecond
	// maxPartDelay is how late a host may use a permit of its even part; one that nobody wanted is lost.
	maxPartDelay = 200 * time.Millisecond
)

// Asker decides when a host asks for permits, and hands out its even part while the allocators don't answer. It is not
// safe for concurrent use.
type Asker struct {
	random func() float64
	asked  map[Incarnation]*asked
}

// asked is what a host knows of its asks for one upstream.
type asked struct {
	allocator string
	sentAt    cherrykeel.Instant
	ids       []uint64
	// unansweredSince is when the first ask was sent that no reply has come since; 0 if one has.
	unansweredSince cherrykeel.Instant
	// partAt is when the next permit of the even part is due; 0 while the allocator answers.
	partAt cherrykeel.Instant
}

// NewAsker returns an asker that has asked nothing; random returns a number in [0, 1).
func NewAsker(random func() float64) *Asker {
	return &Asker{random: random, asked: map[Incarnation]*asked{}}
}

// Retain forgets the upstreams that name no limit.
func (asker *Asker) Retain(limited map[Incarnation]bool) {
	for upstream := range asker.asked {
		if !limited[upstream] {
			delete(asker.asked, upstream)
		}
	}
}

// IsDue reports whether an ask has to be sent to the allocator now, and counts it as sent. An ask without wants is sent
// once, to withdraw the one before it.
func (asker *Asker) IsDue(ask Ask, allocator string, now cherrykeel.Instant) bool {
	known, exists := asker.asked[ask.Upstream]
	if !exists {
		known = &asked{}
		asker.asked[ask.Upstream] = known
	}
	if known.allocator != allocator {
		known.allocator, known.ids, known.unansweredSince = allocator, nil, 0
	}
	ids := idsOf(ask.Wants)
	same := areEqual(ids, known.ids)
	if same && (len(ids) == 0 || now.Sub(known.sentAt) < askInterval) {
		return false
	}
	known.ids, known.sentAt = ids, now
	if len(ids) > 0 && known.unansweredSince == 0 {
		known.unansweredSince = now
	}
	return allocator != ""
}

// RecordReply records that a host has answered an ask, and reports whether that host is the one that was asked.
func (asker *Asker) RecordReply(upstream Incarnation, from string) bool {
	known, exists := asker.asked[upstream]
	if !exists || known.allocator != from {
		return false
	}
	known.unansweredSince, known.partAt = 0, 0
	return true
}

// TakePart reports whether a permit of the host's even part is due: its requests wait, and no allocator answers. The
// first one comes at a random time, since all hosts may have lost their allocator at the same moment.
func (asker *Asker) TakePart(upstream Incarnation, limit float64, hosts int, now cherrykeel.Instant) bool {
	known, exists := asker.asked[upstream]
	if !exists || len(known.ids) == 0 || known.unansweredSince == 0 || known.allocator != "" && now.Sub(known.unansweredSince) < wordWithin {
		return false
	}
	interval := time.Duration(float64(max(1, hosts)) / RateOf(limit) * float64(time.Second))
	if known.partAt == 0 {
		known.partAt = now.Add(time.Duration(asker.random() * float64(interval)))
	}
	for now.Sub(known.partAt) > maxPartDelay {
		known.partAt = known.partAt.Add(interval)
	}
	if now < known.partAt {
		return false
	}
	known.partAt = known.partAt.Add(interval)
	return true
}

func idsOf(wants []Want) []uint64 {
	ids := make([]uint64, 0, len(wants))
	for _, want := range wants {
		ids = append(ids, want.ID)
	}
	return ids
}

func areEqual(ids, others []uint64) bool {
	if len(ids) != len(others) {
		return false
	}
	for i, id := range ids {
		if id != others[i] {
			return false
		}
	}
	return true
}
