package entry

import (
	"testing"

	"cherrykeel"
	"cherrykeel/share"
)

// benchHosts is how many hosts start at the same moment.
const benchHosts = 195

// BenchmarkHostAnnouncements is what a host does with the announcements of all others that start with it, one by one.
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
