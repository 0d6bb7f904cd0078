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

// patience is generous: no test says how fast something is, only that it comes about.
const patience = 60 * time.Second

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

// transcript collects what a program writes.
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

// process is a program that a test has started.
type process struct {
	name    string
	command *exec.Cmd
	output  *transcript
	done    chan struct{}
}

func start(name, program string, arguments ...string) *process {
	started := &process{name: name, command: exec.Command(program, arguments...), output: &transcript{}, done: make(chan struct{})}
	started.command.Stdout = started.output
	started.command.Stderr = started.output
	Expect(started.command.Start()).To(Succeed())
	go func() {
		_ = started.command.Wait()
		close(started.done)
	}()
	DeferCleanup(started.kill)
	return started
}

func (process *process) signal(signal syscall.Signal) {
	_ = process.command.Process.Signal(signal)
}

func (process *process) kill() {
	process.signal(syscall.SIGKILL)
	<-process.done
	if CurrentSpecReport().Failed() {
		AddReportEntry(process.name, process.output.text(), ReportEntryVisibilityFailureOrVerbose)
	}
}

func awaitListening(address string) {
	Eventually(func() error {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}, patience, "20ms").Should(Succeed())
}

// upstream is a stand-in server behind a proxy.
type upstream struct {
	process *process
	name    string
	address string
	proxy   *fault.Proxy
}

// entry is an entry host.
type entry struct {
	process *process
	name    string
	address string
	admin   string
	config  string
	// logProxy stands between this host and the log.
	logProxy *fault.Proxy
}

// cluster is a whole installation.
type cluster struct {
	dir       string
	log       string
	list      string
	logStart  *process
	hosts     []*entry
	upstreams map[string]*upstream
	client    *http.Client
}

const zones = 3

func newCluster(hosts int) *cluster {
	cluster := &cluster{dir: GinkgoT().TempDir(), log: fakes.FreeAddress(), list: fakes.FreeAddress(), upstreams: map[string]*upstream{}}
	cluster.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: patience}
	DeferCleanup(cluster.client.CloseIdleConnections)
	cluster.logStart = start("log", standinPath, "log", "--listen", cluster.log)
	start("list", standinPath, "hosts", "--listen", cluster.list, "--lag", "200ms")
	awaitListening(cluster.log)
	awaitListening(cluster.list)
	for i := range hosts {
		cluster.addHost(fmt.Sprintf("entry-%d", i+1), i)
	}
	return cluster
}

func (cluster *cluster) addHost(name string, zone int) *entry {
	added := &entry{name: name, address: fakes.FreeAddress(), admin: fakes.FreeAddress()}
	var err error
	added.logProxy, err = fault.Listen(cluster.log)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(added.logProxy.Close)
	added.config = filepath.Join(cluster.dir, name+".toml")
	text := fmt.Sprintf("Name = %q\nZone = \"zone-%d\"\nListen = %q\nAdmin = %q\nInner = %q\nLog = \"http://%s\"\nHosts = \"http://%s\"\nStopDelay = \"300ms\"\nStopTimeout = \"30s\"\nCheckpointRecords = 10\n",
		name, zone%zones, added.address, added.admin, fakes.FreeAddress(), added.logProxy.Address(), cluster.list)
	Expect(os.WriteFile(added.config, []byte(text), 0o600)).To(Succeed())
	added.process = start(name, cherrykeelPath, "run", "--config", added.config)
	cluster.hosts = append(cluster.hosts, added)
	awaitListening(added.admin)
	return added
}

// addUpstreams starts stand-ins for a service and returns the settings that name them.
func (cluster *cluster) addUpstreams(prefix string, count int, flags ...string) string {
	text := ""
	for i := range count {
		added := &upstream{name: fmt.Sprintf("%s-%d", prefix, i+1), address: fakes.FreeAddress()}
		arguments := append([]string{"upstream", "--name", added.name, "--listen", added.address}, flags...)
		added.process = start(added.name, standinPath, arguments...)
		awaitListening(added.address)
		text += cluster.front(added, i)
	}
	return text
}

// front puts a proxy before an upstream and returns the settings that name it.
func (cluster *cluster) front(added *upstream, zone int) string {
	var err error
	added.proxy, err = fault.Listen(added.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(added.proxy.Close)
	cluster.upstreams[added.name] = added
	return fmt.Sprintf("\n[[Upstreams]]\nName = %q\nAddress = %q\nZone = \"zone-%d\"\n", added.name, added.proxy.Address(), zone%zones)
}

// write puts a file of the settings tree in place.
func (cluster *cluster) write(file, text string) {
	path := filepath.Join(cluster.dir, "tree", file)
	Expect(os.MkdirAll(filepath.Dir(path), 0o700)).To(Succeed())
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
}

// operate runs an operator's command and returns its output and exit code.
func (cluster *cluster) operate(arguments ...string) (string, int) {
	command := exec.Command(cherrykeelPath, arguments...)
	command.Env = append(os.Environ(), "CHERRYKEEL_LOG=http://"+cluster.log, "CHERRYKEEL_HOSTS=http://"+cluster.list, "USER=olive")
	output, _ := command.CombinedOutput()
	return string(output), command.ProcessState.ExitCode()
}

func (cluster *cluster) publish(reason string) {
	output, code := cluster.operate("publish", filepath.Join(cluster.dir, "tree"), "--reason", reason)
	Expect(code).To(Equal(opctl.ExitDone), output)
}

// shop publishes a team with a keyed service, a plain one, and one whose actions must run once.
func (cluster *cluster) shop(keyedFlags ...string) {
	cluster.write("firm.toml", "Timeout = \"5s\"\n")
	cluster.write("shop/team.toml", "Domains = [\"shop.example\"]\nSlots = 64\nConnections = 800\n")
	cluster.write("shop/keys.toml", "PathPrefix = \"/keys\"\nKeyed = true\nKeyFrom = \"path:1\"\nPartitions = 64\n"+
		cluster.addUpstreams("keys", 4, append([]string{"--slots", "64", "--queue", "512", "--work", "1ms"}, keyedFlags...)...))
	cluster.write("shop/plain.toml", "PathPrefix = \"/plain\"\nIdempotent = \"always\"\nKeyFrom = \"path:1\"\nTimeout = \"2s\"\n"+cluster.addUpstreams("plain", 3, "--slots", "64", "--queue", "512", "--work", "1ms"))
	cluster.write("shop/pay.toml", "PathPrefix = \"/pay\"\nIdempotent = \"never\"\nRepeatGuard = \"log\"\nKeyFrom = \"path:1\"\nTimeout = \"2s\"\n"+cluster.addUpstreams("pay", 3, "--slots", "64", "--queue", "512", "--work", "1ms"))
	cluster.write("shop/once.toml", "PathPrefix = \"/once\"\nIdempotent = \"never\"\nKeyFrom = \"path:1\"\nTimeout = \"2s\"\n"+cluster.addUpstreams("once", 3, "--slots", "64", "--queue", "512", "--work", "1ms"))
	cluster.publish("first")
	cluster.awaitOwners()
}

// awaitOwners waits until the keyed service has settled.
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
	}, patience, "50ms").Should(BeTrue())
}

func (cluster *cluster) status(entry *entry) (host.Status, error) {
	var status host.Status
	response, err := cluster.client.Get("http://" + entry.admin + "/status")
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// keeper returns the host that keeps a service.
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
	}, patience, "50ms").ShouldNot(BeNil())
	return found
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask sends a caller's request through a host.
func (cluster *cluster) ask(entry *entry, method, path, body string, headers ...string) answer {
	request, err := http.NewRequest(method, "http://"+entry.address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "shop.example"
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := cluster.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// order tells a stand-in which faults to show.
func (cluster *cluster) order(address string, faults any) {
	data, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	response, err := cluster.client.Post("http://"+address, "application/json", bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}
