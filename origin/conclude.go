package origin

import "cherrykeel"

// Kind is the kind of a call to an upstream.
type Kind int

const (
	// Request is a caller's request. Upstreams repeat its ID in their answers.
	Request Kind = iota
	// Order is a grant or a release. Upstreams repeat no ID in their answers.
	Order
	// Check asks an upstream who it is and how it is. Upstreams repeat no ID in their answers, but name themselves.
	Check
)

// Call is a call to an upstream.
type Call struct {
	Kind Kind
	// ID is the caller's ID of a Request.
	ID string
	// Upstream is the ID of the upstream that is addressed.
	Upstream string
	// Alone means that its connection carries no other call, so that no second answer to another one can come there.
	Alone bool
}

// Conclusion is what an answer may show.
type Conclusion int

const (
	// Answered means that the answer is the call's own and may be passed on.
	Answered Conclusion = iota
	// NotRun means that the request does not run and never will.
	NotRun
	// Misdirected means that the upstream does not own the request's key.
	Misdirected
	// Replaced means that another upstream listens at the address, so that the addressed one has ended.
	Replaced
	// Doubtful means that another upstream may listen at the address, which has to be asked.
	Doubtful
	// Alive means that the addressed upstream has answered.
	Alive
	// Leaving means that a statement of the addressed upstream that it leaves is its own.
	Leaving
	// Rest means that the addressed upstream wants no call for a time.
	Rest
	// Limit means that the rate limit in the answer, or its absence, is the addressed upstream's.
	Limit
	// Load means that the load in the answer is the addressed upstream's.
	Load
	// Healthy means that the answer shows the health of the addressed upstream.
	Healthy
	// Granted means that the addressed upstream has accepted or refused a grant.
	Granted
	// Released means that the addressed upstream has completed a release.
	Released
)

// sender is what an answer has to say of the upstream that sent it.
type sender int

const (
	// anySender is any upstream.
	anySender sender = iota
	// noOther is the addressed upstream, or one that is not named; not if it refuses a misdirected call, as any upstream at
	// the address does.
	noOther
	// itself is the addressed upstream by name.
	itself
	// other is another upstream by name.
	other
)

// need is what an answer must name to show something.
type need struct {
	// request means that it names the call's request, and unnamed that neither the call nor the answer names one.
	request bool
	unnamed bool
	sender  sender
	// alone means that the connection carried no other call.
	alone bool
	// statement, if not nil, is what else its headers must say.
	statement func(reply cherrykeel.ReplyHeaders) bool
}

// needs are what answers must name, by the kind of the call and what they are to show; one of a list is enough. What is not
// listed is never shown.
//
// A request's answer names the request, whatever it is to show: what does not may be bytes behind an answer to another one,
// while the request runs. Orders and checks have no ID. What would end a lease must come on a connection of their own; a
// grant that counts as accepted too early only makes the keys count as held for longer. A full upstream refuses a check
// without its name, and a rest keeps only this host from it.
var needs = map[Kind]map[Conclusion][]need{
	Request: {
		Answered:    {{request: true, sender: noOther}, {unnamed: true, sender: noOther}},
		NotRun:      {{request: true, sender: noOther, statement: isRefusal}, {request: true, sender: anySender, statement: isMisdirected}},
		Misdirected: {{request: true, sender: anySender, statement: isMisdirected}},
		Replaced:    {{request: true, sender: other, statement: isMisdirected}},
		Doubtful:    {{sender: other, statement: isMisdirected}},
		Alive:       {{request: true, sender: noOther}},
		Leaving:     {{request: true, sender: noOther}},
		Rest:        {{request: true, sender: noOther}},
		Limit:       {{request: true, sender: noOther}},
		Load:        {{request: true, sender: noOther}},
	},
	Order: {
		Granted:  {{sender: noOther}},
		Released: {{sender: noOther, alone: true}},
		Replaced: {{sender: other, alone: true, statement: isMisdirected}},
		Doubtful: {{sender: other, statement: isMisdirected}},
	},
	Check: {
		Healthy:  {{sender: itself}},
		Leaving:  {{sender: itself}},
		Rest:     {{sender: noOther, statement: isRefusal}},
		Replaced: {{sender: other, alone: true}},
	},
}

func isRefusal(reply cherrykeel.ReplyHeaders) bool {
	return reply.NotRun
}

func isMisdirected(reply cherrykeel.ReplyHeaders) bool {
	return reply.Misdirected
}

// Shows reports whether an answer to a call shows something.
func Shows(conclusion Conclusion, call Call, reply cherrykeel.ReplyHeaders) bool {
	if reply.Contradictory || reply.Malformed != "" {
		return false
	}
	for _, need := range needs[call.Kind][conclusion] {
		if need.isMet(call, reply) {
			return true
		}
	}
	return false
}

func (need need) isMet(call Call, reply cherrykeel.ReplyHeaders) bool {
	names := NamesOf(call, reply)
	switch {
	case need.request && (names != Own || call.ID == ""):
		return false
	case need.unnamed && (names != Nobody || call.ID != ""):
		return false
	case need.alone && !call.Alone:
		return false
	case need.statement != nil && !need.statement(reply):
		return false
	default:
		return need.sender.matches(call.Upstream, reply)
	}
}

// matches reports whether an answer says of its sender what is needed.
func (sender sender) matches(addressed string, reply cherrykeel.ReplyHeaders) bool {
	switch sender {
	case itself:
		return reply.Instance == addressed
	case other:
		return reply.Instance != "" && reply.Instance != addressed
	case noOther:
		return reply.Instance == addressed || reply.Instance == "" && !reply.Misdirected
	default:
		return true
	}
}
