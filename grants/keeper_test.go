package grants_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"cherrykeel"
	"cherrykeel/grants"
)

// newKeeper returns a keeper among fakes; when the spec has ended no key may have had two owners.
func newKeeper(longest time.Duration) (*shiftedClock, *fakeStore, *fakeMesh, *fakeGranter, *grants.Keeper) {
	clock := &shiftedClock{}
	store := newFakeStore("u1", "u2")
	mesh := &fakeMesh{clock: clock, hostCount: 1}
	granter := newFakeGranter()
	bounds := func() cherrykeel.Bounds { return cherrykeel.Bounds{MaxLeaseDuration: longest} }
	keeper := grants.New(cherrykeel.Peer{Name: selfName, Incarnation: "life-" + selfName}, clock, zap.NewNop(), store, "table", store, store, mesh, granter, bounds)
	DeferCleanup(func() { Expect(granter.overlaps).To(BeZero(), "a key had two owners") })
	return clock, store, mesh, granter, keeper
}

// runKeeper runs a keeper until the spec has ended.
func runKeeper(keeper *grants.Keeper) {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go keeper.Run(ctx)
}

// ownerOf returns who has a key by the store's table.
func (store *fakeStore) ownerOf(key int) func() string {
	return func() string {
		table, _, _ := store.Current()
		owned, _ := table.Find(service, key)
		return owned.Owner
	}
}
