package permit_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/permit"
)

// names returns a statement of an answer that names a limit.
func names(perSecond float64, sent, received int) permit.Statement {
	return permit.Statement{Limited: true, PerSecond: perSecond, SentAt: at(sent), ReceivedAt: at(received)}
}

// namesNone returns a statement of an answer without a limit.
func namesNone(sent, received int) permit.Statement {
	return permit.Statement{SentAt: at(sent), ReceivedAt: at(received)}
}

// Guards against a limit that is taken for ended by an answer that was under way when it was named, and against one that
// stays since an old answer came late.
var _ = DescribeTable("of two statements of an upstream", func(known, heard, expected permit.Statement) {
	Expect(permit.Merge(known, heard)).To(Equal(expected))
},
	Entry("the first one holds", permit.Statement{}, names(9.5, 10, 20), names(9.5, 10, 20)),
	Entry("a certainly later end holds", names(9.5, 10, 20), namesNone(20, 30), namesNone(20, 30)),
	Entry("an end that may be earlier does not hold", names(9.5, 10, 20), namesNone(19, 30), names(9.5, 10, 20)),
	Entry("a limit that may be earlier than the end holds", namesNone(10, 30), names(9.5, 5, 20), names(9.5, 5, 20)),
	Entry("a certainly earlier limit does not hold after the end", namesNone(10, 30), names(9.5, 5, 10), namesNone(10, 30)),
	Entry("a certainly later higher limit holds", names(9.5, 10, 20), names(12, 21, 25), names(12, 21, 25)),
	Entry("a higher limit that may be earlier does not hold", names(9.5, 10, 20), names(12, 15, 25), names(9.5, 10, 20)),
	Entry("a lower limit that may be earlier holds", names(9.5, 10, 20), names(4, 9, 25), names(4, 9, 25)),
	Entry("equal ones hold from the latest on", names(9.5, 10, 20), names(9.5, 5, 25), names(9.5, 10, 25)),
)
