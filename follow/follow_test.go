package follow_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"cherrykeel"
	"cherrykeel/fold"
	"cherrykeel/follow"
	"cherrykeel/tree"
)

func TestFollow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "follow")
}

// fakeLog keeps records in memory. An append whose reply is lost takes effect; an append while the log is unavailable
// does not.
type fakeLog struct {
	mutex       sync.Mutex
	records     [][]byte
	unavailable bool
	loseReplies bool
}

func (log *fakeLog) Append(_ context.Context, data []byte) (int64, error) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.unavailable {
		return 0, errors.WithStack(cherrykeel.ErrLogUnavailable)
	}
	log.records = append(log.records, data)
	if log.loseReplies {
		return 0, errors.WithStack(cherrykeel.ErrLogUnavailable)
	}
	return int64(len(log.records) - 1), nil
}

func (log *fakeLog) Read(ctx context.Context, from int64) (cherrykeel.LogBatch, error) {
	time.Sleep(time.Millisecond)
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.unavailable || ctx.Err() != nil {
		return cherrykeel.LogBatch{}, errors.WithStack(cherrykeel.ErrLogUnavailable)
	}
	batch := cherrykeel.LogBatch{Next: int64(len(log.records))}
	for offset := from; offset < batch.Next; offset++ {
		batch.Records = append(batch.Records, cherrykeel.LogRecord{Offset: offset, Data: log.records[offset]})
	}
	return batch, nil
}

func change(id string, base int64) fold.Record {
	edit := tree.Edit{Path: "a", Base: base, Fields: map[string]any{"Timeout": "5s"}}
	return fold.Record{Format: fold.Format, ID: id, Change: &fold.Change{Edits: []tree.Edit{edit}}}
}

func startFollower(log cherrykeel.Log) *follow.Follower {
	follower := follow.New(log, cherrykeel.SystemClock())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go follower.Run(ctx)
	return follower
}

var _ = Describe("a follower", func() {
	It("returns the verdict on an append whose reply was lost, and an unknown outcome for one that failed", func() {
		log := &fakeLog{loseReplies: true}
		follower := startFollower(log)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		verdict, err := follower.Propose(ctx, change("x", 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Accepted).To(BeTrue())
		verdict, err = follower.Propose(ctx, change("y", 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Accepted).To(BeFalse())

		log.mutex.Lock()
		log.unavailable = true
		log.mutex.Unlock()
		short, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer stop()
		_, err = follower.Propose(short, change("z", 1))
		Expect(err).To(MatchError(follow.ErrOutcomeUnknown))
	})

	It("detects a peer that folded the same records to another state", func() {
		log := &fakeLog{}
		follower := startFollower(log)
		_, err := follower.Propose(context.Background(), change("x", 0))
		Expect(err).NotTo(HaveOccurred())
		status := follower.Status()
		Expect(follower.HasDiverged(status.Next, status.Chain)).To(BeFalse())
		Expect(follower.HasDiverged(status.Next, status.Chain+1)).To(BeTrue())
		Expect(follower.HasDiverged(status.Next+5, 1)).To(BeFalse(), "a peer that is ahead cannot be compared yet")
	})

	It("returns the records that a peer lacks, without a checkpoint if the follower still has all of them", func() {
		log := &fakeLog{}
		follower := startFollower(log)
		for base := range int64(3) {
			_, err := follower.Propose(context.Background(), change(string(rune('a'+base)), base))
			Expect(err).NotTo(HaveOccurred())
		}
		missing, err := follower.RecordsFrom(1)
		Expect(err).NotTo(HaveOccurred())
		Expect(missing.Records).To(HaveLen(2))
		Expect(missing.Checkpoint).To(BeNil())
		Expect(missing.Next).To(Equal(int64(3)))
		Expect(json.Valid(missing.Records[0].Data)).To(BeTrue())
	})
})
