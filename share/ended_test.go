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

var _ = Describe("a host after a graceful shutdown", func() {
	// Guards against warnings of an unreachable host at each of 193 other hosts after a planned stop: while the store
	// is unavailable the stopped host's record stays. A host that crashed must still be logged.
	It("is not logged as unreachable, though its record is still there", func() {
		core, logged := observer.New(zapcore.InfoLevel)
		observing := newMemberWith(zap.New(core), "h-1", "a", "z1")
		stopping := newMember("h-2", "a", "z1")
		crashed := newMember("h-3", "a", "z1")
		join(observing, stopping, crashed)
		Eventually(func() int { return len(observing.mesh.FreshReports()) }, generous).Should(Equal(2))
		stopping.mesh.ReportStopped()
		stopping.mesh.ReportStopped()
		stopping.stop()
		Eventually(func() bool { return observing.hasStopReport("h-2") }, generous).Should(BeTrue())
		crashed.stop()
		unreachable := func() []string {
			var names []string
			for _, entry := range logged.FilterMessage(events.PeerUnreachable.Text).All() {
				names = append(names, entry.ContextMap()["Host"].(string))
			}
			return names
		}
		Eventually(unreachable, generous).Should(ContainElement("h-3"))
		Eventually(observing.mesh.FreshReports, generous).Should(BeEmpty(), "a stopped host's report gets stale as any other")
		Consistently(unreachable, "300ms").Should(Equal([]string{"h-3"}))
	})
})

// hasStopReport reports whether the last report of a host that has stopped has been received.
func (member *member) hasStopReport(name string) bool {
	for _, received := range member.mesh.Reports(time.Hour) {
		if received.Report.Host == name && received.Report.Stopped {
			return true
		}
	}
	return false
}
