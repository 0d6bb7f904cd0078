package proof_test

import (
	"path/filepath"
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cherrykeel/fakes"
	"cherrykeel/opctl"
)

var _ = Describe("settings", func() {
	It("are in force on all of eight hosts when publish says so, and are explained and audited", func() {
		cluster := newCluster(8)
		cluster.shop()
		cluster.write("shop/plain.toml", "PathPrefix = \"/plain\"\nTimeout = \"9s\"\nIdempotent = \"always\"\n"+cluster.addUpstreams("plain", 1))
		output, code := cluster.operate("plan", filepath.Join(cluster.dir, "tree"))
		Expect(code).To(Equal(opctl.ExitDone), output)
		Expect(output).To(ContainSubstring("Timeout"))
		output, code = cluster.operate("publish", filepath.Join(cluster.dir, "tree"), "--reason", "slower searches")
		Expect(code).To(Equal(opctl.ExitDone), output)
		Expect(output).To(ContainSubstring("in force on 8 hosts"))
		version := int64(0)
		for _, entry := range cluster.hosts {
			status, err := cluster.status(entry)
			Expect(err).NotTo(HaveOccurred())
			Expect(status.Version).To(BeNumerically(">", 1))
			version = max(version, status.Version)
			Expect(status.Version).To(Equal(version))
		}
		output, _ = cluster.operate("explain", "shop/plain", "Timeout")
		Expect(output).To(Equal("Timeout of shop/plain is 9s and is set by shop/plain\n"))
		output, _ = cluster.operate("history", "shop/plain")
		Expect(output).To(ContainSubstring("olive"))
		Expect(output).To(ContainSubstring("slower searches"))
		output, code = cluster.operate("owner", "shop/keys", "hall-7")
		Expect(code).To(Equal(opctl.ExitDone), output)
		Expect(output).To(ContainSubstring("owned by keys-"))
	})

	It("go to one of two operators who publish at the same moment, and the other is told to whom it lost", func() {
		// Both read the same version and append at once. The log orders them, the fold takes
		// the first, and the second's record replaces a version that is no longer in force.
		cluster := newCluster(2)
		cluster.write("firm.toml", "Timeout = \"5s\"\n")
		cluster.publish("first")
		cluster.order(cluster.log+"/faults", fakes.LogFaults{Delay: 500_000_000})
		codes := make([]int, 2)
		outputs := make([]string, 2)
		var both sync.WaitGroup
		for i := range 2 {
			dir := filepath.Join("operator", string(rune('a'+i)))
			cluster.write(filepath.Join("..", dir, "firm.toml"), "Timeout = \""+string(rune('6'+i))+"s\"\n")
			both.Go(func() {
				defer GinkgoRecover()
				outputs[i], codes[i] = cluster.operate("publish", filepath.Join(cluster.dir, dir), "--reason", "race", "--author", string(rune('a'+i)))
			})
		}
		both.Wait()
		Expect(codes).To(ConsistOf(opctl.ExitDone, opctl.ExitRejected), outputs[0]+outputs[1])
		for i, code := range codes {
			if code == opctl.ExitRejected {
				Expect(outputs[i]).To(ContainSubstring("it lost to version"))
			}
		}
	})

	It("are told the truth about when the log takes a change and loses the reply, or takes nothing", func() {
		cluster := newCluster(2)
		cluster.write("firm.toml", "Timeout = \"5s\"\n")
		cluster.publish("first")

		// The append takes effect and its reply is lost: reading on finds the record.
		cluster.order(cluster.log+"/faults", fakes.LogFaults{LoseReplies: 1})
		cluster.write("firm.toml", "Timeout = \"6s\"\n")
		output, code := cluster.operate("publish", filepath.Join(cluster.dir, "tree"), "--reason", "lost reply")
		Expect(code).To(Equal(opctl.ExitDone), output)

		// The append has no effect and nothing says so: the outcome stays unknown, and its id finds nothing.
		cluster.order(cluster.log+"/faults", fakes.LogFaults{RefuseAppends: 1})
		cluster.write("firm.toml", "Timeout = \"7s\"\n")
		output, code = cluster.operate("publish", filepath.Join(cluster.dir, "tree"), "--reason", "lost append", "--timeout", "2s")
		Expect(code).To(Equal(opctl.ExitUnknown), output)
		Expect(output).To(ContainSubstring("cherrykeel history --id"))

		cluster.order(cluster.log+"/faults", fakes.LogFaults{Outage: true})
		output, code = cluster.operate("publish", filepath.Join(cluster.dir, "tree"), "--reason", "outage", "--timeout", "1s")
		Expect(code).To(Equal(opctl.ExitUnreachable), output)

		cluster.order(cluster.log+"/faults", fakes.LogFaults{})
		output, _ = cluster.operate("show")
		Expect(output).To(MatchRegexp(`Timeout +"6s"`))
		cluster.publish("again")
		output, _ = cluster.operate("history", "--json")
		Expect(output).NotTo(ContainSubstring("lost append"))
	})

	It("never go back on a host that the log's retention has overtaken while it was paused", func() {
		// The log keeps 25 records and the host sleeps through 40. What it has not read is gone;
		// it starts over from a checkpoint that is newer than what it had, and says nothing older.
		cluster := newCluster(3)
		cluster.order(cluster.log+"/faults", fakes.LogFaults{Retention: 25})
		cluster.write("firm.toml", "Timeout = \"5s\"\n")
		cluster.publish("first")
		slow := cluster.hosts[0]
		before, err := cluster.status(slow)
		Expect(err).NotTo(HaveOccurred())
		slow.process.signal(syscall.SIGSTOP)
		for round := range 40 {
			cluster.write("firm.toml", "Timeout = \""+string(rune('1'+round%9))+"s\"\n")
			output, code := cluster.operate("publish", filepath.Join(cluster.dir, "tree"), "--reason", "round", "--wait", "0s")
			Expect(code).To(Equal(opctl.ExitDone), output)
		}
		slow.process.signal(syscall.SIGCONT)
		last := before.Version
		Eventually(func() bool {
			status, err := cluster.status(slow)
			if err != nil {
				return false
			}
			Expect(status.Version).To(BeNumerically(">=", last))
			last = status.Version
			newest, err := cluster.status(cluster.hosts[1])
			return err == nil && status.Version == newest.Version && status.Chain == newest.Chain
		}, patience, "50ms").Should(BeTrue())
		Expect(last).To(BeNumerically(">", before.Version+30))
	})

	It("survive the log's retention, and reach a new host from a checkpoint, or from peers while the log is out", func() {
		// The log keeps 60 records. Hosts append checkpoints in time, so a host that starts
		// later finds one; during an outage it starts from what most of its peers know.
		cluster := newCluster(3)
		cluster.order(cluster.log+"/faults", fakes.LogFaults{Retention: 60})
		cluster.write("firm.toml", "Timeout = \"5s\"\n")
		cluster.publish("first")
		for round := range 70 {
			cluster.write("firm.toml", "Timeout = \""+string(rune('1'+round%9))+"s\"\n")
			cluster.publish("round")
		}
		late := cluster.addHost("late", 1)
		Eventually(func() bool {
			status, err := cluster.status(late)
			return err == nil && status.Ready
		}, patience, "50ms").Should(BeTrue())

		cluster.order(cluster.log+"/faults", fakes.LogFaults{Outage: true, Retention: 60})
		later := cluster.addHost("later", 2)
		Eventually(func() bool {
			status, err := cluster.status(later)
			return err == nil && status.Ready
		}, patience, "50ms").Should(BeTrue())
		one, _ := cluster.status(cluster.hosts[0])
		other, _ := cluster.status(later)
		Expect(other.Version).To(Equal(one.Version))
		Expect(other.Chain).To(Equal(one.Chain))
	})
})
