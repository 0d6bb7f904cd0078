package grants

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
	"cherrykeel/fakes"
	"cherrykeel/spans"
)

// acceptingLog accepts all writes.
type acceptingLog struct{ cherrykeel.KeyedLog }

func (acceptingLog) PutAt(context.Context, string, []byte, int64) error { return nil }

var _ = Describe("a keeper whose grants are refused because of a higher fence", func() {
	// Guards against thousands of claims a second, before which no other host's claim comes: the fences of new terms stay
	// below the one that an upstream has seen.
	It("claims at once, and then less and less often while they are refused", func() {
		clock := fakes.NewClock(cherrykeel.Instant(time.Hour))
		keeper := newSteppedKeeper("host-1", clock, acceptingLog{}, smallEnvironment{}, &fencedGranter{})
		keeper.grants[spans.GrantedSpan{}] = &grantState{refused: true}
		claims := func(length time.Duration) int {
			count := 0
			for end := clock.Now().Add(length); clock.Now() < end; clock.Advance(time.Millisecond) {
				if keeper.reclaimAfterRefusal(context.Background(), spans.Table{}, 1, clock.Now()) {
					count++
				}
			}
			return count
		}
		Expect(claims(time.Millisecond)).To(Equal(1))
		Expect(claims(10 * time.Second)).To(BeNumerically("<=", 12))
		clock.Advance(20 * time.Second)
		Expect(claims(time.Millisecond)).To(Equal(1))
	})
})
