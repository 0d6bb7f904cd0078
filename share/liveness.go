package share

import (
	"cherrykeel"
)

// spoken remembers who was heard and who should have been.
type spoken struct {
	expected map[string]cherrykeel.Instant
	at       map[string]cherrykeel.Instant
}

func newSpoken() spoken {
	return spoken{expected: map[string]cherrykeel.Instant{}, at: map[string]cherrykeel.Instant{}}
}

// expect notes that a host is sent messages to which it answers with its own.
func (spoken *spoken) expect(name string, now cherrykeel.Instant) {
	_, known := spoken.expected[name]
	if !known {
		spoken.expected[name] = now
	}
}

func (spoken *spoken) heard(name string, now cherrykeel.Instant) {
	spoken.at[name] = now
	delete(spoken.expected, name)
}

func (spoken *spoken) forget(name string) {
	delete(spoken.expected, name)
	delete(spoken.at, name)
}

// liveness shows the plan what this host knows of the others; Mesh.mutex is held.
type liveness struct {
	mesh *Mesh
	now  cherrykeel.Instant
}

// IsUnreachable implements topo.View. A host that has not been heard stays silent until it is: it would else
// be chosen again each second.
func (liveness *liveness) IsUnreachable(name string) bool {
	spoken := &liveness.mesh.spoken
	since, expected := spoken.expected[name]
	return expected && liveness.now.Sub(since) > staleAfter && liveness.now.Sub(spoken.at[name]) > staleAfter
}

// IsStoreUnreachable implements topo.View.
func (liveness *liveness) IsStoreUnreachable(name string) bool {
	if name == liveness.mesh.self.Name {
		return liveness.mesh.storeless
	}
	heard, known := liveness.mesh.heard[name]
	return known && !heard.Report.StoreAvailable
}
