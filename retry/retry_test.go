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

// referenceRules is the simplest implementation of the guarantees: it may retry what cannot have run and what may run
// twice. Decide may retry less than that, never more.
func referenceRules(result retry.Result, conditions retry.Conditions) (mayRetry, mayHaveRun bool) {
	switch result.Evidence {
	case retry.NeverSent, retry.Refused:
		return conditions.Now < conditions.Deadline, false
	case retry.Uncertain:
		return conditions.Repeatable && conditions.Now < conditions.Deadline, true
	default:
		return false, false
	}
}

var _ = Describe("the decision after an attempt", func() {
	It("never retries, nor reports not-run, where the reference rules do not", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			result := retry.Result{
				Evidence: retry.Evidence(rapid.IntRange(0, 3).Draw(t, "evidence")),
				Refusal:  rapid.SampledFrom([]retry.Refusal{retry.RefusedNotOwner, retry.RefusedShed, retry.RefusedDraining}).Draw(t, "refusal"),
			}
			conditions := retry.Conditions{
				Now:        cherrykeel.Instant(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "now")),
				Deadline:   cherrykeel.Instant(5 * time.Second),
				Attempt:    rapid.IntRange(1, 300).Draw(t, "attempt"),
				Repeatable: rapid.Bool().Draw(t, "repeatable"),
				Keyed:      rapid.Bool().Draw(t, "keyed"),
				BudgetLeft: rapid.Bool().Draw(t, "budget"),
				Random:     rapid.Float64Range(0, 0.999).Draw(t, "random"),
			}
			decision := retry.Decide(result, conditions)
			mayRetry, mayHaveRun := referenceRules(result, conditions)
			if decision.Forward != (result.Evidence == retry.Answered) {
				t.Fatalf("forward is %t", decision.Forward)
			}
			if decision.Retry && !mayRetry {
				t.Fatalf("retries a request that may not run twice")
			}
			if decision.Retry && conditions.Now.Add(decision.Wait) >= conditions.Deadline {
				t.Fatalf("waits past the deadline")
			}
			if decision.Retry && result.Evidence == retry.Uncertain && !conditions.BudgetLeft {
				t.Fatalf("retries without a budget")
			}
			if decision.Failure != nil && mayHaveRun != (decision.Failure.Outcome == cherrykeel.OutcomeUnknown) {
				t.Fatalf("the outcome is %s", decision.Failure.Outcome)
			}
			if !decision.Forward && !decision.Retry && decision.Failure == nil {
				t.Fatalf("neither forwards, nor retries, nor fails")
			}
		})
	})

	// Guards against callers that repeat a request because its last attempt did not run, although an earlier one may
	// have run.
	It("does not call a request not-run once an earlier attempt may have run", func() {
		refused := cherrykeel.Refuse(503, "upstream-unreachable", "")
		Expect(retry.FinalFailure(refused, true).Outcome).To(Equal(cherrykeel.OutcomeUnknown))
		Expect(retry.FinalFailure(refused, false).Outcome).To(Equal(cherrykeel.NotRun))
		Expect(refused.Outcome).To(Equal(cherrykeel.NotRun))
	})
})
