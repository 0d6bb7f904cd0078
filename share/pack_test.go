package share

import (
	"bytes"
	"compress/gzip"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
)

var _ = ginkgo.Describe("messages", func() {
	ginkgo.It("are packed when they are large, and read as they were", func() {
		for _, size := range []int{1, 100, 30 << 10} {
			told := Announcement{Host: "h", Topic: "spans", PreviousOffset: 3, Records: []cherrykeel.KeyedRecord{{Key: "table", Value: bytes.Repeat([]byte("span "), size/5), Offset: 4}}}
			data, err := encode(methodTell, told)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(data)).To(BeNumerically("<", 5<<10))
			method, params, err := decode(data)
			Expect(err).NotTo(HaveOccurred())
			Expect(method).To(Equal(methodTell))
			Expect(len(params)).To(BeNumerically(">", size))
		}
	})

	ginkgo.It("without a method or parameters, and what is no message at all, are dropped", func() {
		for _, data := range []string{`{}`, `{"method":"Load"}`, `{"params":{}}`, `{"method":7,"params":{}}`, `[]`, `{"method":"Load","params":{}`, `7`, `{"method":"Load","params":{}}x`} {
			_, _, err := decode([]byte(data))
			Expect(err).To(MatchError(ErrMalformed), data)
		}
		method, _, err := decode([]byte(`{"meta":{"a":[1]},"method":"Load","params":{},"more":1}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(method).To(Equal(methodLoad))
	})

	ginkgo.It("that unpack to more than any message are dropped, and so is what does not unpack", func() {
		var packed bytes.Buffer
		writer := gzip.NewWriter(&packed)
		_, err := writer.Write(make([]byte, 3<<20))
		Expect(err).NotTo(HaveOccurred())
		Expect(writer.Close()).To(Succeed())
		for _, data := range [][]byte{packed.Bytes(), packed.Bytes()[:50], {packedMark}, {packedMark, 0x8b, 8}, {}} {
			_, _, err := decode(data)
			Expect(err).To(MatchError(ErrMalformed))
		}
	})

	ginkgo.It("are cut where they would be large, in order", func() {
		records := make([]cherrykeel.KeyedRecord, 10)
		for i := range records {
			records[i] = cherrykeel.KeyedRecord{Offset: int64(i), Value: make([]byte, 5<<10)}
		}
		parts := split(records)
		Expect(parts).To(HaveLen(5))
		next := int64(0)
		for _, part := range parts {
			for _, record := range part {
				Expect(record.Offset).To(Equal(next))
				next++
			}
		}
		Expect(next).To(Equal(int64(10)))
		Expect(split(nil)).To(BeEmpty())
	})
})
