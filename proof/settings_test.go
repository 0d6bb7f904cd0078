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
	It("are in force on all eight hosts when publish reports it, and are listed by explain and history", func() {
		cluster := newCluster(8)
		cluster.publishShop()
		cluster.writeSettings("shop/plain.toml", "PathPrefix = \"/plain\"\nTimeout = \"9s\"\nIdempotent = \"always\"\n"+cluster.addUpstreams("plain", 1))
		output, code := cluster.runCommand("plan", filepath.Join(cluster.dir, "tree"))
		Expect(code).To(Equal(opctl.ExitDone), output)
		Expect(output).To(ContainSubstring("Timeout"))
		output, code = cluster.runCommand("publish", filepath.Join(cluster.dir, "tree"), "--reason", "slower searches")
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
		output, _ = cluster.runCommand("explain", "shop/plain", "Timeout")
		Expect(output).To(Equal("Timeout of shop/plain is 9s and is set by shop/plain\n"))
		output, _ = cluster.runCommand("history", "shop/plain")
		Expect(output).To(ContainSubstring("olive"))
		Expect(output).To(ContainSubstring("slower searches"))
		output, code = cluster.runCommand("owner", "shop/keys", "hall-7")
		Expect(code).To(Equal(opctl.ExitDone), output)
		Expect(output).To(ContainSubstring("owned by keys-"))
	})

	It("are accepted from one of two operators who publish at the same time, and the other one learns which version won", func() {
		// Both read the same version and append at the same time. The log orders the two records. The fold accepts the
		// first and rejects the second, because the version that it replaces is no longer in force.
		cluster := newCluster(2)
		cluster.writeSettings("firm.toml", "Timeout = \"5s\"\n")
		cluster.publish("first")
		cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{Delay: 500_000_000})
		codes := make([]int, 2)
		outputs := make([]string, 2)
		var publishers sync.WaitGroup
		for i := range 2 {
			dir := filepath.Join("operator", string(rune('a'+i)))
			cluster.writeSettings(filepath.Join("..", dir, "firm.toml"), "Timeout = \""+string(rune('6'+i))+"s\"\n")
			publishers.Go(func() {
				defer GinkgoRecover()
				outputs[i], codes[i] = cluster.runCommand("publish", filepath.Join(cluster.dir, dir), "--reason", "race", "--author", string(rune('a'+i)))
			})
		}
		publishers.Wait()
		Expect(codes).To(ConsistOf(opctl.ExitDone, opctl.ExitRejected), outputs[0]+outputs[1])
		for i, code := range codes {
			if code == opctl.ExitRejected {
				Expect(outputs[i]).To(ContainSubstring("it lost to version"))
			}
		}
	})

	It("are reported with their true outcome when the log stores a change and loses the reply, or stores nothing", func() {
		cluster := newCluster(2)
		cluster.writeSettings("firm.toml", "Timeout = \"5s\"\n")
		cluster.publish("first")

		// The append takes effect and its reply is lost: publish finds the record as it reads on.
		cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{LoseReplies: 1})
		cluster.writeSettings("firm.toml", "Timeout = \"6s\"\n")
		output, code := cluster.runCommand("publish", filepath.Join(cluster.dir, "tree"), "--reason", "lost reply")
		Expect(code).To(Equal(opctl.ExitDone), output)

		// The append has no effect and gets no reply: the outcome stays unknown, and history has no such record.
		cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{RefuseAppends: 1})
		cluster.writeSettings("firm.toml", "Timeout = \"7s\"\n")
		output, code = cluster.runCommand("publish", filepath.Join(cluster.dir, "tree"), "--reason", "lost append", "--timeout", "2s")
		Expect(code).To(Equal(opctl.ExitUnknown), output)
		Expect(output).To(ContainSubstring("cherrykeel history --id"))

		cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{Outage: true})
		output, code = cluster.runCommand("publish", filepath.Join(cluster.dir, "tree"), "--reason", "outage", "--timeout", "1s")
		Expect(code).To(Equal(opctl.ExitUnreachable), output)

		cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{})
		output, _ = cluster.runCommand("show")
		Expect(output).To(MatchRegexp(`Timeout +"6s"`))
		cluster.publish("again")
		output, _ = cluster.runCommand("history", "--json")
		Expect(output).NotTo(ContainSubstring("lost append"))
	})

	It("never go back on a host that was suspended until the log had deleted records that the host had not read", func() {
		// The log keeps 25 records, and 40 are written while the host is suspended, so some that it has not read are
		// gone. It continues from a checkpoint that is newer than its state, and never reports an older version.
		cluster := newCluster(3)
		cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{Retention: 25})
		cluster.writeSettings("firm.toml", "Timeout = \"5s\"\n")
		cluster.publish("first")
		suspended := cluster.hosts[0]
		before, err := cluster.status(suspended)
		Expect(err).NotTo(HaveOccurred())
		suspended.process.signal(syscall.SIGSTOP)
		for round := range 40 {
			cluster.writeSettings("firm.toml", "Timeout = \""+string(rune('1'+round%9))+"s\"\n")
			output, code := cluster.runCommand("publish", filepath.Join(cluster.dir, "tree"), "--reason", "round", "--wait", "0s")
			Expect(code).To(Equal(opctl.ExitDone), output)
		}
		suspended.process.signal(syscall.SIGCONT)
		last := before.Version
		Eventually(func() bool {
			status, err := cluster.status(suspended)
			if err != nil {
				return false
			}
			Expect(status.Version).To(BeNumerically(">=", last))
			last = status.Version
			newest, err := cluster.status(cluster.hosts[1])
			return err == nil && status.Version == newest.Version && status.Chain == newest.Chain
		}, waitTimeout, "50ms").Should(BeTrue())
		Expect(last).To(BeNumerically(">", before.Version+30))
	})

	It("survive the log's retention, and reach a new host from a checkpoint, or from peers while the log is unavailable", func() {
		// The log keeps 60 records. Hosts append a checkpoint before the log deletes the previous one, so a host that
		// starts later finds one. During an outage, a new host starts from the newest state that it
		// receives from most of its peers.
		cluster := newCluster(3)
		cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{Retention: 60})
		cluster.writeSettings("firm.toml", "Timeout = \"5s\"\n")
		cluster.publish("first")
		for round := range 70 {
			cluster.writeSettings("firm.toml", "Timeout = \""+string(rune('1'+round%9))+"s\"\n")
			cluster.publish("round")
		}
		late := cluster.addHost("late", 1)
		Eventually(func() bool {
			status, err := cluster.status(late)
			return err == nil && status.Ready
		}, waitTimeout, "50ms").Should(BeTrue())

		cluster.setFaults(cluster.logAddress+"/faults", fakes.LogFaults{Outage: true, Retention: 60})
		later := cluster.addHost("later", 2)
		Eventually(func() bool {
			status, err := cluster.status(later)
			return err == nil && status.Ready
		}, waitTimeout, "50ms").Should(BeTrue())
		expected, _ := cluster.status(cluster.hosts[0])
		actual, _ := cluster.status(later)
		Expect(actual.Version).To(Equal(expected.Version))
		Expect(actual.Chain).To(Equal(expected.Chain))
	})
})
