package origin

import (
	"testing"

	"cherrykeel"
)

func BenchmarkShows(b *testing.B) {
	call := Call{Kind: Request, ID: "9c41d07be2a35f68", Upstream: "i-7f3a91c2"}
	reply := cherrykeel.ReplyHeaders{ID: call.ID, Signed: true}
	for b.Loop() {
		if !Shows(Answered, call, reply) {
			b.Fatal("the answer is the request's own")
		}
	}
}
