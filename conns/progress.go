package conns

// Progress is how far a request got on its connection.
type Progress int

// The steps of a request, in order.
const (
	// NotSent means that no byte was handed to the connection.
	NotSent Progress = iota
	// PartlySent means that some bytes may have been sent, so the upstream may act on them.
	PartlySent
	// Sent means that all bytes were handed to the connection.
	Sent
	// AnswerBegun means that the head of an answer has arrived.
	AnswerBegun
	// Complete means that the complete answer has arrived.
	Complete
)

var progressNames = [...]string{"not sent", "sent in part", "sent", "answer begun", "complete"}

// String returns the name used in logs.
func (progress Progress) String() string {
	return progressNames[progress]
}

// IsUnanswered reports whether an upstream may have received some of the request, and no answer has arrived.
func (progress Progress) IsUnanswered() bool {
	return progress == PartlySent || progress == Sent
}
