package grants_test

import "time"

func (store *fakeStore) IsResting(id string) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.rests[id] > 0
}

func (store *fakeStore) RecordRest(id string, duration time.Duration) {
	store.set(func() { store.rests[id] = duration })
}

func (store *fakeStore) LinkLostFor(string) time.Duration { return 0 }

func (store *fakeStore) IsLinkUncertain(string) bool { return false }

func (store *fakeStore) IsFromCopy() bool { return false }

func (store *fakeStore) ReregistrationTime() time.Duration { return 0 }
