package share

import (
	"bytes"
	"compress/gzip"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel"
)

var _ = ginkgo.Describe("messages", func() {
	ginkgo.It("are compressed when they are large, and decoded to the same content", func() {
		for _, size := range []int{1, 100, 30 << 10} {
			announcement := Announcement{Host: "h", Topic: "spans", PreviousOffset: 3, Records: []cherrykeel.KeyedRecord{{Key: "table", Value: bytes.Repeat([]byte("span "), size/5), Offset: 4}}}
			data, err := encode(methodAnnounce, announcement)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(data)).To(BeNumerically("<", 5<<10))
			method, params, err := decode(data)
			Expect(err).NotTo(HaveOccurred())
			Expect(method).To(Equal(methodAnnounce))
			Expect(len(params)).To(BeNumerically(">", size))
		}
	})

	ginkgo.It("without a method or parameters, and malformed ones, are dropped", func() {
		for _, data := range []string{`{}`, `{"method":"Load"}`, `{"params":{}}`, `{"method":7,"params":{}}`, `[]`, `{"method":"Load","params":{}`, `7`, `{"method":"Load","params":{}}x`} {
			_, _, err := decode([]byte(data))
			Expect(err).To(MatchError(ErrMalformed), data)
		}
		method, _, err := decode([]byte(`{"meta":{"a":[1]},"method":"Load","params":{},"more":1}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(method).To(Equal(methodLoad))
	})

	ginkgo.It("that decompress to more than the bound are dropped, and so are corrupt ones", func() {
		var compressed bytes.Buffer
		writer := gzip.NewWriter(&compressed)
		_, err := writer.Write(make([]byte, 3<<20))
		Expect(err).NotTo(HaveOccurred())
		Expect(writer.Close()).To(Succeed())
		for _, data := range [][]byte{compressed.Bytes(), compressed.Bytes()[:50], {gzipFirstByte}, {gzipFirstByte, 0x8b, 8}, {}} {
			_, _, err := decode(data)
			Expect(err).To(MatchError(ErrMalformed))
		}
	})

	ginkgo.It("are split into chunks of bounded size, in order", func() {
		records := make([]cherrykeel.KeyedRecord, 10)
		for i := range records {
			records[i] = cherrykeel.KeyedRecord{Offset: int64(i), Value: make([]byte, 5<<10)}
		}
		chunks := splitBySize(records)
		Expect(chunks).To(HaveLen(5))
		next := int64(0)
		for _, chunk := range chunks {
			for _, record := range chunk {
				Expect(record.Offset).To(Equal(next))
				next++
			}
		}
		Expect(next).To(Equal(int64(10)))
		Expect(splitBySize(nil)).To(BeEmpty())
	})
})
