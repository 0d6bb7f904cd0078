package entry

import (
	"testing"

	"cherrykeel"
	"cherrykeel/share"
)

// benchHosts is how many hosts start at the same moment.
const benchHosts = 195

// BenchmarkHostAnnouncements applies the announcements of all hosts that start at the same moment, one by one.
func BenchmarkHostAnnouncements(b *testing.B) {
	first := announcements(benchHosts, "first", 0)
	second := announcements(benchHosts, "second", benchHosts)
	b.ReportAllocs()
	for b.Loop() {
		host := unstartedHost(nil)
		host.topics.hosts.ApplyReceived(first)
		for _, record := range second {
			host.receive(share.Announcement{Topic: topicHosts, Records: []cherrykeel.KeyedRecord{record}})
		}
	}
}
