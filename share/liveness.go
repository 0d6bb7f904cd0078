package share

import (
	"cherrykeel"
)

// spoken remembers who was heard and who should have been.
type contacts struct {
	expected   map[string]cherrykeel.Instant
	receivedAt map[string]cherrykeel.Instant
}

func newContacts() contacts {
	return contacts{expected: map[string]cherrykeel.Instant{}, receivedAt: map[string]cherrykeel.Instant{}}
}

// expect notes that a host is sent messages to which it answers with its own.
func (contacts *contacts) expectMessage(name string, now cherrykeel.Instant) {
	_, known := contacts.expected[name]
	if !known {
		contacts.expected[name] = now
	}
}

func (contacts *contacts) recordReceived(name string, now cherrykeel.Instant) {
	contacts.receivedAt[name] = now
	delete(contacts.expected, name)
}

func (contacts *contacts) forget(name string) {
	delete(contacts.expected, name)
	delete(contacts.receivedAt, name)
}

// liveness shows the plan what this host knows of the others; Mesh.mutex is held.
type liveness struct {
	mesh *Mesh
	now  cherrykeel.Instant
}

// IsUnreachable implements topo.View. A host that has not been heard stays silent until it is: it would else
// be chosen again each second.
func (liveness *liveness) IsUnreachable(name string) bool {
	contacts := &liveness.mesh.contacts
	since, expected := contacts.expected[name]
	return expected && liveness.now.Sub(since) > staleAfter && liveness.now.Sub(contacts.receivedAt[name]) > staleAfter
}

// IsStoreUnreachable implements topo.View.
func (liveness *liveness) IsStoreUnreachable(name string) bool {
	if name == liveness.mesh.self.Name {
		return liveness.mesh.storeUnreachable
	}
	received, known := liveness.mesh.reports[name]
	return known && !received.Report.StoreAvailable
}
