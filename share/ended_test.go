package share_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cherrykeel/events"
)

var _ = Describe("a host that has stopped by plan", func() {
	// The store is away while a host stops, so that its record stays. Guards against warnings of its silence at each of
	// 193 other hosts, which whoever is on call reads for nothing. A host that was lost is still warned of.
	It("is not warned of as silent, though its record is still there", func() {
		core, logged := observer.New(zapcore.InfoLevel)
		witness := newMemberWith(zap.New(core), "h-1", "a", "z1")
		stopping := newMember("h-2", "a", "z1")
		lost := newMember("h-3", "a", "z1")
		join(witness, stopping, lost)
		Eventually(func() int { return len(witness.mesh.FreshReports()) }, generous).Should(Equal(2))
		stopping.mesh.ReportStopped()
		stopping.mesh.ReportStopped()
		stopping.stop()
		Eventually(func() bool { return witness.heardLast("h-2") }, generous).Should(BeTrue())
		lost.stop()
		silent := func() []string {
			var names []string
			for _, entry := range logged.FilterMessage(events.PeerSilent.Text).All() {
				names = append(names, entry.ContextMap()["Host"].(string))
			}
			return names
		}
		Eventually(silent, generous).Should(ContainElement("h-3"))
		Eventually(witness.mesh.FreshReports, generous).Should(BeEmpty(), "a host that has ended counts no longer than before")
		Consistently(silent, "300ms").Should(Equal([]string{"h-3"}))
	})
})

// heardLast reports whether a host's last word has come.
func (member *member) heardLast(name string) bool {
	for _, heard := range member.mesh.Reports(time.Hour) {
		if heard.Report.Host == name && heard.Report.Stopped {
			return true
		}
	}
	return false
}
