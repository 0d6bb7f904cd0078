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

// newKeeper returns a keeper with fakes; at the end of the spec it checks that no key has had two owners.
func newKeeper(maxLease time.Duration) (*shiftedClock, *fakeStore, *fakeMesh, *fakeGranter, *grants.Keeper) {
	clock := &shiftedClock{}
	store := newFakeStore("u1", "u2")
	mesh := &fakeMesh{clock: clock, hostCount: 1}
	granter := newFakeGranter()
	bounds := func() cherrykeel.Bounds { return cherrykeel.Bounds{MaxLeaseDuration: maxLease} }
	keeper := grants.New(cherrykeel.Peer{Name: selfName, Incarnation: "life-" + selfName}, clock, zap.NewNop(), store, "table", store, store, mesh, granter, bounds)
	DeferCleanup(func() { Expect(granter.overlaps).To(BeZero(), "a key had two owners") })
	return clock, store, mesh, granter, keeper
}

// runKeeper runs a keeper until the end of the spec.
func runKeeper(keeper *grants.Keeper) {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go keeper.Run(ctx)
}

// ownerOf returns a function that returns the owner of a key in the store's table.
func (store *fakeStore) ownerOf(key int) func() string {
	return func() string {
		table, _, _ := store.Current()
		owned, _ := table.Find(service, key)
		return owned.Owner
	}
}
