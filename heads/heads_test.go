package heads_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/heads"
)

func TestHeads(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "heads")
}

// check returns the first error of an answer's lines.
func check(lines ...string) error {
	var answer heads.Answer
	for _, line := range lines {
		_, err := answer.AddLine([]byte(line + "\r\n"))
		if err != nil {
			return err
		}
	}
	return nil
}

var _ = Describe("a status line", func() {
	// Guards against bytes that pass as an answer, since a number can be read from them: 000 became 200 on its way.
	DescribeTable("is none of an answer", func(line, wrong string) {
		err := check(line)
		Expect(err).To(MatchError(heads.ErrMalformed))
		Expect(err.Error()).To(ContainSubstring(wrong))
	},
		Entry("with status 000", "HTTP/1.1 000 OK", `status "000"`),
		Entry("with status 042", "HTTP/1.1 042 OK", `status "042"`),
		Entry("with status 099", "HTTP/1.1 099 OK", `status "099"`),
		Entry("with status 600", "HTTP/1.1 600 OK", `status "600"`),
		Entry("with status 999", "HTTP/1.1 999 OK", `status "999"`),
		Entry("with a sign", "HTTP/1.1 +20 OK", `status "+20"`),
		Entry("with a minus", "HTTP/1.1 -20 OK", `status "-20"`),
		Entry("with two digits", "HTTP/1.1 20 OK", `status "20"`),
		Entry("with four digits", "HTTP/1.1 2000 OK", `status "2000"`),
		Entry("with a fraction", "HTTP/1.1 2.0 OK", `status "2.0"`),
		Entry("with letters", "HTTP/1.1 2OO OK", `status "2OO"`),
		Entry("with a control byte behind the status", "HTTP/1.1 200\x01 OK", `status "200\x01"`),
		Entry("with two blanks", "HTTP/1.1  200 OK", `status ""`),
		Entry("without a status", "HTTP/1.1", `status ""`),
		Entry("of HTTP/2", "HTTP/2.0 200 OK", `version "HTTP/2.0"`),
		Entry("of HTTP/0.9", "HTTP/0.9 200 OK", `version "HTTP/0.9"`),
		Entry("of an unknown minor version", "HTTP/1.2 200 OK", `version "HTTP/1.2"`),
		Entry("in small letters", "http/1.1 200 OK", `version "http/1.1"`),
		Entry("behind a blank", " HTTP/1.1 200 OK", `version ""`),
		Entry("of another protocol", "SSH-2.0-OpenSSH", `version "SSH-2.0-OpenSSH"`),
		Entry("that is empty", "", `version ""`),
	)

	// Guards against rare answers that are given up.
	DescribeTable("is one of an answer", func(line string) {
		Expect(check(line)).To(Succeed())
	},
		Entry("with the lowest status", "HTTP/1.1 100 Continue"),
		Entry("with the highest status", "HTTP/1.1 599 Rare"),
		Entry("with status 299", "HTTP/1.1 299 Rare"),
		Entry("without a reason", "HTTP/1.1 200"),
		Entry("with an empty reason", "HTTP/1.1 200 "),
		Entry("with a reason of several words", "HTTP/1.1 200 all is well"),
		Entry("of HTTP/1.0", "HTTP/1.0 200 OK"),
	)
})

var _ = Describe("a field's line", func() {
	const status = "HTTP/1.1 200 OK"

	// Guards against a field that is not found under its name, as a length that is passed over so that the body is another.
	DescribeTable("is none of an answer", func(line, wrong string) {
		err := check(status, "A: b", line)
		Expect(err).To(MatchError(heads.ErrMalformed))
		Expect(err.Error()).To(ContainSubstring(wrong))
	},
		Entry("with a blank in its name", "Bad Name: x", `name of the field "Bad Name"`),
		Entry("with a blank before the colon", "Content-Length : 2", `name of the field "Content-Length "`),
		Entry("with a tab before the colon", "Transfer-Encoding\t: chunked", `name of the field "Transfer-Encoding\t"`),
		Entry("that begins with a blank", " X-Thing: x", `name of the field " X-Thing"`),
		Entry("that continues the one before", "\tmore", `name of the field "\tmore"`),
		Entry("with a control byte in its name", "Bad\x01Name: x", `name of the field "Bad\x01Name"`),
		Entry("with a NUL in its name", "Bad\x00Name: x", `name of the field "Bad\x00Name"`),
		Entry("with a DEL in its name", "Bad\x7fName: x", `name of the field "Bad\x7fName"`),
		Entry("with a letter beyond ASCII in its name", "Bäd: x", `name of the field "Bäd"`),
		Entry("with a separator in its name", "Bad/Name: x", `name of the field "Bad/Name"`),
		Entry("without a name", ": x", `name of the field ""`),
		Entry("without a colon", "Bad", `name of the field "Bad"`),
		Entry("of blanks", "  ", `name of the field "  "`),
		Entry("with a NUL in its value", "A: \x00", `value of the field "A"`),
		Entry("with a return in its value", "A: x\rB: y", `value of the field "A"`),
		Entry("with a control byte in its value", "A: x\x1by", `value of the field "A"`),
	)

	// Guards against rare fields that are given up.
	DescribeTable("is one of an answer", func(line string, expected heads.Field) {
		Expect(check(status, line)).To(Succeed())
		Expect(heads.ParseField(line)).To(Equal(expected))
	},
		Entry("with every kind of byte that a name may have", "!#$%&'*+-.^_`|~09azAZ: x", heads.Field{Name: "!#$%&'*+-.^_`|~09azAZ", Value: "x"}),
		Entry("without a value", "A:", heads.Field{Name: "A"}),
		Entry("with blanks around its value", "A: \t x y \t", heads.Field{Name: "A", Value: "x y"}),
		Entry("with bytes beyond ASCII in its value", "A: \xe9", heads.Field{Name: "A", Value: "\xe9"}),
		Entry("with colons in its value", "A: b:c", heads.Field{Name: "A", Value: "b:c"}),
	)
})

var _ = Describe("the fields that give the body's length", func() {
	// Guards against a body that is not the server's, as two parsers read different ones.
	DescribeTable("make no answer", func(lines ...string) {
		Expect(check(lines...)).To(MatchError(heads.ErrMalformed))
	},
		Entry("as a length and a coding", "HTTP/1.1 200 OK", "Content-Length: 2", "Transfer-Encoding: chunked"),
		Entry("as a coding and a length", "HTTP/1.1 200 OK", "transfer-encoding: chunked", "content-length: 2"),
		Entry("as a coding in HTTP/1.0", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked"),
	)

	// Guards against answers that are given up for fields that are alone.
	DescribeTable("make an answer", func(lines ...string) {
		Expect(check(lines...)).To(Succeed())
	},
		Entry("as a length", "HTTP/1.0 200 OK", "Content-Length: 2"),
		Entry("as a coding", "HTTP/1.1 200 OK", "Transfer-Encoding: chunked"),
		Entry("if there is none", "HTTP/1.1 200 OK", "A: b"),
	)
})

var _ = Describe("a Connection header", func() {
	// Guards against a success that loses its length or its encoding on the way to the caller, as fields of a connection do.
	DescribeTable("makes no answer", func(line string) {
		Expect(check("HTTP/1.1 200 OK", line)).To(MatchError(heads.ErrMalformed))
	},
		Entry("that names the length", "Connection: Content-Length"),
		Entry("that names the encoding among others", "connection: close , content-encoding"),
	)

	// Guards against answers that are given up, and against fields of a connection that are passed on.
	It("names fields that are dropped", func() {
		Expect(check("HTTP/1.1 200 OK", "Connection: keep-alive, X-Thing")).To(Succeed())
		header := http.Header{"Connection": {"keep-alive, x-thing", "Y"}, "X-Thing": {"x"}, "Y": {"y"}, "Z": {"z"}}
		heads.DropConnectionFields(header)
		Expect(header).To(Equal(http.Header{"Connection": {"keep-alive, x-thing", "Y"}, "Z": {"z"}}))
	})
})
