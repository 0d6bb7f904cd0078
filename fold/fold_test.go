package fold_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cherrykeel/fold"
	"cherrykeel/naive"
	"cherrykeel/tree"
)

func TestFold(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fold")
}

// records generates proposals; some replace the current version, others an outdated one.
func records(t *rapid.T) []fold.Record {
	var list []fold.Record
	for i := range rapid.IntRange(1, 40).Draw(t, "count") {
		record := fold.Record{Format: 1, ID: fmt.Sprint(i), Author: rapid.SampledFrom([]string{"one", "two"}).Draw(t, "author")}
		base := int64(rapid.IntRange(0, i).Draw(t, "base"))
		switch rapid.IntRange(0, 2).Draw(t, "kind") {
		case 0:
			path := rapid.SampledFrom([]string{"", "a", "a/b"}).Draw(t, "path")
			edit := tree.Edit{Path: path, Base: base, Removed: rapid.Bool().Draw(t, "removed"), Fields: map[string]any{"N": float64(i)}}
			record.Change = &fold.Change{Edits: []tree.Edit{edit}}
		case 1:
			record.Claim = &fold.Claim{Service: "a/b", Term: base, Witnesses: []string{"w"}}
		default:
			record.Assign = &fold.Assign{Service: "a/b", Term: base, Base: int64(rapid.IntRange(0, i).Draw(t, "sequence")), Partitions: 4, Owners: map[string][]int{"up": {i % 4}}}
		}
		list = append(list, record)
	}
	return list
}

func apply(state *fold.State, list []fold.Record, from int) {
	for i, record := range list[from:] {
		data, err := fold.Encode(record)
		Expect(err).NotTo(HaveOccurred())
		_, err = state.Apply(int64(from+i), data)
		Expect(err).NotTo(HaveOccurred())
	}
}

var _ = Describe("the fold", func() {
	It("matches the naive fold, and gives the same state when it is restored from a checkpoint at any offset", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			list := records(t)
			full := fold.NewState()
			apply(full, list, 0)
			nodes, ownership := naive.Fold(list)
			if len(nodes) != len(full.Nodes) {
				t.Fatalf("nodes %v, naive %v", full.Nodes, nodes)
			}
			for path, node := range nodes {
				if full.Nodes[path].Version != node.Version || !tree.EqualFields(full.Nodes[path].Fields, node.Fields) {
					t.Fatalf("%q is %v, naive %v", path, full.Nodes[path], node)
				}
			}
			for service, expected := range ownership {
				got := full.Ownership[service]
				if got.Term != expected.Term || got.Keeper != expected.Keeper || got.Sequence != expected.Sequence {
					t.Fatalf("%s is %+v, naive %+v", service, got, expected)
				}
			}
			cut := rapid.IntRange(0, len(list)).Draw(t, "cut")
			part := fold.NewState()
			apply(part, list[:cut], 0)
			checkpoint, err := part.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			restored, err := fold.Restore(checkpoint)
			Expect(err).NotTo(HaveOccurred())
			apply(restored, list, cut)
			if restored.Digest() != full.Digest() || restored.Chain != full.Chain {
				t.Fatalf("the state restored from a checkpoint at %d differs", cut)
			}
		})
	})

	It("accepts the first of two changes that replace the same version, and reports the version in force", func() {
		state := fold.NewState()
		change := func(id string) []byte {
			data, _ := json.Marshal(fold.Record{Format: 1, ID: id, Change: &fold.Change{Edits: []tree.Edit{{Path: "a", Fields: map[string]any{}}}}})
			return data
		}
		first, _ := state.Apply(0, change("x"))
		second, _ := state.Apply(1, change("y"))
		again, _ := state.Apply(2, change("x"))
		Expect(first.Accepted).To(BeTrue())
		Expect(second.Accepted).To(BeFalse())
		Expect(second.ConflictVersion).To(Equal(int64(1)))
		Expect(again.Accepted).To(BeFalse(), "a record that was appended twice takes effect once")
	})

	It("stops at a record in a newer format instead of skipping it", func() {
		state := fold.NewState()
		_, err := state.Apply(0, []byte(`{"Format": 99, "Future": {}}`))
		Expect(err).To(MatchError(fold.ErrFormat))
		Expect(state.Next).To(BeZero())
	})

	It("rejects a corrupt checkpoint", func() {
		checkpoint, _ := fold.NewState().Snapshot()
		checkpoint.State = json.RawMessage(`{"Next": 7}`)
		_, err := fold.Restore(checkpoint)
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("intents", func() {
	It("assign a key to the first request in the log, free it if the request was not run, and store the answer otherwise", func() {
		intents := fold.NewIntents()
		now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
		offset := int64(0)
		applyBatch := func(batch fold.IntentBatch) {
			batch.Format, batch.Time = 1, now
			data, _ := json.Marshal(batch)
			_, err := intents.Apply(offset, data)
			Expect(err).NotTo(HaveOccurred())
			offset++
		}
		begin := func(request string) fold.IntentBegin {
			return fold.IntentBegin{Service: "s", Key: "k", Request: request}
		}
		owner := func() string {
			intent, _ := intents.Find("s", "k")
			return intent.Request
		}
		applyBatch(fold.IntentBatch{Begins: []fold.IntentBegin{begin("r1"), begin("r2")}})
		Expect(owner()).To(Equal("r1"))
		applyBatch(fold.IntentBatch{Ends: []fold.IntentEnd{{Service: "s", Key: "k", Request: "r2", NotRun: true}}})
		Expect(owner()).To(Equal("r1"), "only the request that has the key may free it")
		applyBatch(fold.IntentBatch{Ends: []fold.IntentEnd{{Service: "s", Key: "k", Request: "r1", NotRun: true}}, Begins: []fold.IntentBegin{begin("r3")}})
		Expect(owner()).To(Equal("r3"))
		applyBatch(fold.IntentBatch{Ends: []fold.IntentEnd{{Service: "s", Key: "k", Request: "r3", Status: 200, Answer: &fold.IntentAnswer{Body: []byte("paid")}}}})
		intent, _ := intents.Find("s", "k")
		Expect(string(intent.Answer.Body)).To(Equal("paid"))

		// A host with a wrong clock cannot expire the keys of other hosts at once.
		now = now.AddDate(1, 0, 0)
		applyBatch(fold.IntentBatch{})
		Expect(owner()).To(Equal("r3"))
		for range 200 {
			applyBatch(fold.IntentBatch{})
		}
		Expect(intents.Len()).To(BeZero())
	})
})

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"Format":1,"ID":"x","Change":{"Edits":[{"Path":"a","Fields":{}}]}}`))
	f.Add([]byte(`{"Format":1,"Assign":{"Service":"s","Partitions":-1,"Owners":{"u":[-5,99999999]}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		state, otherState := fold.NewState(), fold.NewState()
		first, err := state.Apply(0, data)
		second, otherErr := otherState.Apply(0, data)
		if first != second || (err == nil) != (otherErr == nil) || state.Chain != otherState.Chain {
			t.Fatal("two hosts folded the same record differently")
		}
	})
}
