package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cherrykeel"
	"cherrykeel/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

// naive is the plainest machine that keeps the promises: it may repeat what cannot have run, and
// what may run twice; the real one may do less than it allows, never more.
func naive(ending retry.Result, situation retry.Conditions) (mayRepeat, mayHaveRun bool) {
	switch ending.Evidence {
	case retry.NeverSent, retry.Refused:
		return situation.Now < situation.Deadline, false
	case retry.Uncertain:
		return situation.Repeatable && situation.Now < situation.Deadline, true
	default:
		return false, false
	}
}

var _ = Describe("the decision after an attempt", func() {
	It("never repeats, nor says not-run, where the naive machine would not", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ending := retry.Result{
				Evidence: retry.Evidence(rapid.IntRange(0, 3).Draw(t, "evidence")),
				Refusal:  rapid.SampledFrom([]retry.Refusal{retry.RefusedNotOwner, retry.RefusedShed, retry.RefusedDraining}).Draw(t, "refusal"),
			}
			situation := retry.Conditions{
				Now:        cherrykeel.Instant(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "now")),
				Deadline:   cherrykeel.Instant(5 * time.Second),
				Attempt:    rapid.IntRange(1, 300).Draw(t, "attempt"),
				Repeatable: rapid.Bool().Draw(t, "repeatable"),
				Keyed:      rapid.Bool().Draw(t, "keyed"),
				BudgetLeft: rapid.Bool().Draw(t, "budget"),
				Random:     rapid.Float64Range(0, 0.999).Draw(t, "random"),
			}
			verdict := retry.Decide(ending, situation)
			mayRepeat, mayHaveRun := naive(ending, situation)
			if verdict.Forward != (ending.Evidence == retry.Answered) {
				t.Fatalf("pass is %t", verdict.Forward)
			}
			if verdict.Retry && !mayRepeat {
				t.Fatalf("repeats")
			}
			if verdict.Retry && situation.Now.Add(verdict.Wait) >= situation.Deadline {
				t.Fatalf("waits past the deadline")
			}
			if verdict.Retry && ending.Evidence == retry.Uncertain && !situation.BudgetLeft {
				t.Fatalf("repeats without a budget")
			}
			if verdict.Failure != nil && mayHaveRun != (verdict.Failure.Outcome == cherrykeel.OutcomeUnknown) {
				t.Fatalf("says %s", verdict.Failure.Outcome)
			}
			if !verdict.Forward && !verdict.Retry && verdict.Failure == nil {
				t.Fatalf("decides nothing")
			}
		})
	})

	It("does not call a request not-run once an earlier attempt may have run", func() {
		refused := cherrykeel.Refuse(503, "upstream-unreachable", "")
		Expect(retry.FinalFailure(refused, true).Outcome).To(Equal(cherrykeel.OutcomeUnknown))
		Expect(retry.FinalFailure(refused, false).Outcome).To(Equal(cherrykeel.NotRun))
		Expect(refused.Outcome).To(Equal(cherrykeel.NotRun))
	})
})
