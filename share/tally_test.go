package share

import (
	"encoding/json"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = ginkgo.Describe("counts by short names", func() {
	same := func(text string) {
		var own tally
		var library map[string]int
		ownErr := json.Unmarshal([]byte(text), &own)
		err := json.Unmarshal([]byte(text), &library)
		Expect(ownErr == nil).To(Equal(err == nil), "%s: %v, %v", text, ownErr, err)
		if err == nil {
			Expect(map[string]int(own)).To(Equal(library), text)
		}
	}

	ginkgo.It("are read as the library reads them, whoever wrote them", func() {
		for _, text := range []string{
			`{}`, `null`, `{"a":1}`, `{"a":1,"b":-2}`, `{ "a" : 1 }`, `{"a":1,"a":2}`, `{"":3}`, `{"a,b":1,"c:d":2}`, `{"a\"b":1}`, `{"\u0061":1}`,
			`{"a":1.5}`, `{"a":1e3}`, `{"a":-0}`, `{"a":"1"}`, `{"a":null}`, `{"a":{"b":1}}`, `{"a":[1]}`, `{"a":99999999999999999999}`, `[]`, `7`, `"a"`, `{"ä":1}`,
			`{"a}":1}`, `{"a":1`, `{"a":1,}`,
		} {
			same(text)
		}
	})

	ginkgo.It("come back as they were written", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			counts := rapid.MapOf(rapid.String(), rapid.Int()).Draw(t, "counts")
			data, err := json.Marshal(tally(counts))
			Expect(err).NotTo(HaveOccurred())
			same(string(data))
		})
	})
})
