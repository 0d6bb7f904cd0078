package proof_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"cherrykeel/fakes"
	"cherrykeel/fault"
	"cherrykeel/host"
	"cherrykeel/opctl"
)

// waitTimeout limits each wait and each request. It is generous, since the tests check that something happens,
// not how fast.
const waitTimeout = 60 * time.Second

var cherrykeelPath, standinPath string

func TestProof(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proof")
}

var _ = BeforeSuite(func() {
	var err error
	cherrykeelPath, err = gexec.Build("cherrykeel/cmd/cherrykeel")
	Expect(err).NotTo(HaveOccurred())
	standinPath, err = gexec.Build("cherrykeel/cmd/standin")
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// transcript collects a program's standard output and standard error.
type transcript struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (transcript *transcript) Write(data []byte) (int, error) {
	transcript.mutex.Lock()
	defer transcript.mutex.Unlock()
	return transcript.buffer.Write(data)
}

func (transcript *transcript) text() string {
	transcript.mutex.Lock()
	defer transcript.mutex.Unlock()
	return transcript.buffer.String()
}

// process is a program started by a test.
type process struct {
	name    string
	command *exec.Cmd
	output  *transcript
	done    chan struct{}
}

// startProcess starts a program, which is killed at the end of the spec.
func startProcess(name, program string, arguments ...string) *process {
	return startCommand(name, exec.Command(program, arguments...))
}

// startCommand starts a command, which is killed at the end of the spec. Its standard error goes to the transcript if
// the command names no other file.
func startCommand(name string, command *exec.Cmd) *process {
	started := &process{name: name, command: command, output: &transcript{}, done: make(chan struct{})}
	command.Stdout = started.output
	if command.Stderr == nil {
		command.Stderr = started.output
	}
	Expect(started.command.Start()).To(Succeed())
	go func() {
		_ = started.command.Wait()
		close(started.done)
	}()
	DeferCleanup(started.kill)
	return started
}

// textWhileRunning returns the program's output. It fails for good when the program has ended.
func (process *process) textWhileRunning() (string, error) {
	select {
	case <-process.done:
		return "", StopTrying("the program has ended: " + process.command.ProcessState.String())
	default:
		return process.output.text(), nil
	}
}

func (process *process) signal(signal syscall.Signal) {
	_ = process.command.Process.Signal(signal)
}

// waitStatus returns how the program has ended.
func (process *process) waitStatus() syscall.WaitStatus {
	return process.command.ProcessState.Sys().(syscall.WaitStatus)
}

// kill ends the program with SIGKILL, and adds its output to the report if the spec has failed.
func (process *process) kill() {
	process.signal(syscall.SIGKILL)
	<-process.done
	if CurrentSpecReport().Failed() {
		AddReportEntry(process.name, process.output.text(), ReportEntryVisibilityFailureOrVerbose)
	}
}

// awaitListening waits until a TCP connection to the address succeeds.
func awaitListening(address string) {
	Eventually(func() error {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}, waitTimeout, "20ms").Should(Succeed())
}

// upstream is a stand-in upstream behind a proxy. process is nil if it runs in the test's own process.
type upstream struct {
	process *process
	name    string
	address string
	proxy   *fault.Proxy
}

// entry is an entry host that runs as a process of its own.
type entry struct {
	process *process
	name    string
	address string
	admin   string
	config  string
	// logProxy forwards this host's connections to the log.
	logProxy *fault.Proxy
}

// cluster is a complete installation: the log, the host list, entry hosts and upstreams, all on loopback addresses.
type cluster struct {
	dir             string
	logAddress      string
	hostListAddress string
	logProcess      *process
	hosts           []*entry
	upstreams       map[string]*upstream
	client          *http.Client
}

// zones is the number of availability zones over which hosts and upstreams are distributed.
const zones = 3

// newCluster starts the log, the host list and a number of entry hosts.
func newCluster(hosts int) *cluster {
	cluster := &cluster{dir: GinkgoT().TempDir(), logAddress: fakes.FreeAddress(), hostListAddress: fakes.FreeAddress(), upstreams: map[string]*upstream{}}
	cluster.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: waitTimeout}
	DeferCleanup(cluster.client.CloseIdleConnections)
	cluster.logProcess = startProcess("log", standinPath, "log", "--listen", cluster.logAddress)
	startProcess("list", standinPath, "hosts", "--listen", cluster.hostListAddress, "--lag", "200ms")
	awaitListening(cluster.logAddress)
	awaitListening(cluster.hostListAddress)
	for i := range hosts {
		cluster.addHost(fmt.Sprintf("entry-%d", i+1), i)
	}
	return cluster
}

// addHost starts an entry host with a proxy between it and the log.
func (cluster *cluster) addHost(name string, zone int) *entry {
	added := &entry{name: name, address: fakes.FreeAddress(), admin: fakes.FreeAddress()}
	var err error
	added.logProxy, err = fault.Listen(cluster.logAddress)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(added.logProxy.Close)
	added.config = filepath.Join(cluster.dir, name+".toml")
	text := fmt.Sprintf("Name = %q\nZone = \"zone-%d\"\nListen = %q\nAdmin = %q\nInner = %q\nLog = \"http://%s\"\nHosts = \"http://%s\"\nStopDelay = \"300ms\"\nStopTimeout = \"30s\"\nCheckpointRecords = 10\n",
		name, zone%zones, added.address, added.admin, fakes.FreeAddress(), added.logProxy.Address(), cluster.hostListAddress)
	Expect(os.WriteFile(added.config, []byte(text), 0o600)).To(Succeed())
	added.process = startProcess(name, cherrykeelPath, "run", "--config", added.config)
	cluster.hosts = append(cluster.hosts, added)
	awaitListening(added.admin)
	return added
}

// addUpstreams starts stand-in upstreams for a service and returns their part of the service's settings.
func (cluster *cluster) addUpstreams(prefix string, count int, flags ...string) string {
	text := ""
	for i := range count {
		added := &upstream{name: fmt.Sprintf("%s-%d", prefix, i+1), address: fakes.FreeAddress()}
		arguments := append([]string{"upstream", "--name", added.name, "--listen", added.address}, flags...)
		added.process = startProcess(added.name, standinPath, arguments...)
		awaitListening(added.address)
		text += cluster.addProxy(added, i)
	}
	return text
}

// addProxy starts a proxy before an upstream and returns the settings that list the upstream under the proxy's address.
func (cluster *cluster) addProxy(added *upstream, zone int) string {
	var err error
	added.proxy, err = fault.Listen(added.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(added.proxy.Close)
	cluster.upstreams[added.name] = added
	return fmt.Sprintf("\n[[Upstreams]]\nName = %q\nAddress = %q\nZone = \"zone-%d\"\n", added.name, added.proxy.Address(), zone%zones)
}

// writeSettings writes a file of the settings tree, replacing an earlier one.
func (cluster *cluster) writeSettings(file, text string) {
	path := filepath.Join(cluster.dir, "tree", file)
	Expect(os.MkdirAll(filepath.Dir(path), 0o700)).To(Succeed())
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
}

// runCommand runs a command of the operators' program and returns its output and exit code.
func (cluster *cluster) runCommand(arguments ...string) (string, int) {
	command := exec.Command(cherrykeelPath, arguments...)
	command.Env = append(os.Environ(), "CHERRYKEEL_LOG=http://"+cluster.logAddress, "CHERRYKEEL_HOSTS=http://"+cluster.hostListAddress, "USER=olive")
	output, _ := command.CombinedOutput()
	return string(output), command.ProcessState.ExitCode()
}

// publish publishes the settings tree and expects success.
func (cluster *cluster) publish(reason string) {
	output, code := cluster.runCommand("publish", filepath.Join(cluster.dir, "tree"), "--reason", reason)
	Expect(code).To(Equal(opctl.ExitDone), output)
}

// publishShop publishes the settings of a team with four services: keys is keyed, plain is idempotent, pay is not
// idempotent and uses the log as its repeat guard, and once is not idempotent and has no repeat guard.
func (cluster *cluster) publishShop(keyedFlags ...string) {
	cluster.writeSettings("firm.toml", "Timeout = \"5s\"\n")
	cluster.writeSettings("shop/team.toml", "Domains = [\"shop.example\"]\nSlots = 64\nConnections = 800\n")
	cluster.writeSettings("shop/keys.toml", "PathPrefix = \"/keys\"\nKeyed = true\nKeyFrom = \"path:1\"\nPartitions = 64\n"+
		cluster.addUpstreams("keys", 4, append([]string{"--slots", "64", "--queue", "512", "--work", "1ms"}, keyedFlags...)...))
	cluster.writeSettings("shop/plain.toml", "PathPrefix = \"/plain\"\nIdempotent = \"always\"\nKeyFrom = \"path:1\"\nTimeout = \"2s\"\n"+cluster.addUpstreams("plain", 3, "--slots", "64", "--queue", "512", "--work", "1ms"))
	cluster.writeSettings("shop/pay.toml", "PathPrefix = \"/pay\"\nIdempotent = \"never\"\nRepeatGuard = \"log\"\nKeyFrom = \"path:1\"\nTimeout = \"2s\"\n"+cluster.addUpstreams("pay", 3, "--slots", "64", "--queue", "512", "--work", "1ms"))
	cluster.writeSettings("shop/once.toml", "PathPrefix = \"/once\"\nIdempotent = \"never\"\nKeyFrom = \"path:1\"\nTimeout = \"2s\"\n"+cluster.addUpstreams("once", 3, "--slots", "64", "--queue", "512", "--work", "1ms"))
	cluster.publish("first")
	cluster.awaitOwners()
}

// awaitOwners waits until the keeper of a keyed service reports it as settled and every partition has an owner.
func (cluster *cluster) awaitOwners() {
	Eventually(func() bool {
		for _, entry := range cluster.hosts {
			status, err := cluster.status(entry)
			if err != nil {
				continue
			}
			for _, service := range status.Services {
				if service.Report != nil && service.Report.Settled && service.Owned[""] == 0 && len(service.Owned) > 0 {
					return true
				}
			}
		}
		return false
	}, waitTimeout, "50ms").Should(BeTrue())
}

// status requests a host's status from its admin address.
func (cluster *cluster) status(entry *entry) (host.Status, error) {
	var status host.Status
	response, err := cluster.client.Get("http://" + entry.admin + "/status")
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// keeper waits until a host is the keeper of a service, and returns that host.
func (cluster *cluster) keeper(service string) *entry {
	var found *entry
	Eventually(func() *entry {
		for _, entry := range cluster.hosts {
			status, err := cluster.status(entry)
			if err != nil {
				continue
			}
			for _, kept := range status.Services {
				if kept.Service == service && kept.Report != nil {
					found = entry
				}
			}
		}
		return found
	}, waitTimeout, "50ms").ShouldNot(BeNil())
	return found
}

// callResult is what a caller received: a response, or the error that prevented one.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error
}

// request sends a request to a host as a caller would. headers alternates names and values.
func (cluster *cluster) request(entry *entry, method, path, body string, headers ...string) callResult {
	request, err := http.NewRequest(method, "http://"+entry.address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "shop.example"
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := cluster.client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// setFaults sets the faults that a stand-in injects.
func (cluster *cluster) setFaults(address string, faults any) {
	data, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	response, err := cluster.client.Post("http://"+address, "application/json", bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}
