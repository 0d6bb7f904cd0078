package share

import (
	"cherrykeel"
)

// contacts records when a message of each host was last received, and since when one is expected.
type contacts struct {
	expected   map[string]cherrykeel.Instant
	receivedAt map[string]cherrykeel.Instant
}

func newContacts() contacts {
	return contacts{expected: map[string]cherrykeel.Instant{}, receivedAt: map[string]cherrykeel.Instant{}}
}

// expectMessage records that this host sends messages to a host that sends its own in return.
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

// liveness is the view of the other hosts from which the plan is made; Mesh.mutex is held.
type liveness struct {
	mesh *Mesh
	now  cherrykeel.Instant
}

// IsUnreachable implements topo.View. A host of which no message has been received stays unreachable until one is; else
// the plan would choose it again each second.
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
