package share

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"

	"cherrykeel"
)

var _ = Describe("eras in messages", func() {
	announcement := func() Announcement {
		return Announcement{
			PreviousOffset: cherrykeel.Position(1, 30),
			Records:        []cherrykeel.KeyedRecord{{Key: "a", Offset: cherrykeel.Position(2, 4)}, {Key: "b", Offset: cherrykeel.Position(2, 5)}},
		}
	}

	// Guards against hosts of the build before that take a position for an offset, and ignore all records after it.
	It("stand beside offsets as hosts that know no eras read them", func() {
		split := announcement()
		split.splitEras()
		data, err := json.Marshal(split)
		Expect(err).NotTo(HaveOccurred())
		var old struct {
			Records []cherrykeel.KeyedRecord
			Before  int64
		}
		Expect(json.Unmarshal(data, &old)).To(Succeed())
		Expect(old.Before).To(Equal(int64(30)))
		Expect(old.Records[1].Offset).To(Equal(int64(5)))
		var read Announcement
		Expect(json.Unmarshal(data, &read)).To(Succeed())
		read.joinEras(7)
		Expect(read).To(Equal(announcement()))

		report := Report{Offsets: map[string]int64{"spans": cherrykeel.Position(2, 4), "hosts": 3, "settings": -1}}
		positions := map[string]int64{"spans": cherrykeel.Position(2, 4), "hosts": 3, "settings": -1}
		report.splitEras()
		Expect(report.Offsets).To(Equal(map[string]int64{"spans": 4, "hosts": 3, "settings": -1}))
		report.joinEras(7)
		Expect(report.Offsets).To(Equal(positions))
	})

	// Guards against hosts that ignore the ones of the build before in a store that has always named an era.
	It("are this host's own for hosts that know none", func() {
		old := Announcement{PreviousOffset: NoPreviousChange, Records: []cherrykeel.KeyedRecord{{Offset: 4}}}
		old.joinEras(3)
		Expect(old.Records[0].Offset).To(Equal(cherrykeel.Position(3, 4)))
		Expect(old.PreviousOffset).To(Equal(int64(NoPreviousChange)))
		report := Report{Offsets: map[string]int64{"spans": 4}}
		report.joinEras(3)
		Expect(report.Offsets["spans"]).To(Equal(cherrykeel.Position(3, 4)))
	})
})
