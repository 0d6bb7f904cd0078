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

// records draws proposals of which some fit and some have lost already.
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
	It("agrees with the naive one, and comes out the same through a checkpoint at any point", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			list := records(t)
			whole := fold.NewState()
			apply(whole, list, 0)
			nodes, blocks := naive.Fold(list)
			if len(nodes) != len(whole.Nodes) {
				t.Fatalf("nodes %v, naive %v", whole.Nodes, nodes)
			}
			for path, node := range nodes {
				if whole.Nodes[path].Version != node.Version || !tree.EqualFields(whole.Nodes[path].Fields, node.Fields) {
					t.Fatalf("%q is %v, naive %v", path, whole.Nodes[path], node)
				}
			}
			for service, block := range blocks {
				got := whole.Ownership[service]
				if got.Term != block.Term || got.Keeper != block.Keeper || got.Sequence != block.Sequence {
					t.Fatalf("%s is %+v, naive %+v", service, got, block)
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
			if restored.Digest() != whole.Digest() || restored.Chain != whole.Chain {
				t.Fatalf("through a checkpoint at %d it differs", cut)
			}
		})
	})

	It("takes one change of two that replace the same version, and names the winner", func() {
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
		Expect(again.Accepted).To(BeFalse(), "a record that is appended twice takes effect once")
	})

	It("stops at a record of a newer format instead of passing over it", func() {
		state := fold.NewState()
		_, err := state.Apply(0, []byte(`{"Format": 99, "Future": {}}`))
		Expect(err).To(MatchError(fold.ErrFormat))
		Expect(state.Next).To(BeZero())
	})

	It("refuses a checkpoint that was damaged", func() {
		checkpoint, _ := fold.NewState().Snapshot()
		checkpoint.State = json.RawMessage(`{"Next": 7}`)
		_, err := fold.Restore(checkpoint)
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("intents", func() {
	It("give a key to the first in the log, free it when the request was not run, and keep the answer otherwise", func() {
		intents := fold.NewIntents()
		at := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
		offset := int64(0)
		put := func(batch fold.IntentBatch) {
			batch.Format, batch.Time = 1, at
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
		put(fold.IntentBatch{Begins: []fold.IntentBegin{begin("r1"), begin("r2")}})
		Expect(owner()).To(Equal("r1"))
		put(fold.IntentBatch{Ends: []fold.IntentEnd{{Service: "s", Key: "k", Request: "r2", NotRun: true}}})
		Expect(owner()).To(Equal("r1"), "only its owner may free a key")
		put(fold.IntentBatch{Ends: []fold.IntentEnd{{Service: "s", Key: "k", Request: "r1", NotRun: true}}, Begins: []fold.IntentBegin{begin("r3")}})
		Expect(owner()).To(Equal("r3"))
		put(fold.IntentBatch{Ends: []fold.IntentEnd{{Service: "s", Key: "k", Request: "r3", Status: 200, Answer: &fold.IntentAnswer{Body: []byte("paid")}}}})
		intent, _ := intents.Find("s", "k")
		Expect(string(intent.Answer.Body)).To(Equal("paid"))

		// A host with a wrong clock cannot end the window of others' keys at once.
		at = at.AddDate(1, 0, 0)
		put(fold.IntentBatch{})
		Expect(owner()).To(Equal("r3"))
		for range 200 {
			put(fold.IntentBatch{})
		}
		Expect(intents.Len()).To(BeZero())
	})
})

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"Format":1,"ID":"x","Change":{"Edits":[{"Path":"a","Fields":{}}]}}`))
	f.Add([]byte(`{"Format":1,"Assign":{"Service":"s","Partitions":-1,"Owners":{"u":[-5,99999999]}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		one, other := fold.NewState(), fold.NewState()
		first, err := one.Apply(0, data)
		second, otherErr := other.Apply(0, data)
		if first != second || (err == nil) != (otherErr == nil) || one.Chain != other.Chain {
			t.Fatal("two hosts differ")
		}
	})
}
