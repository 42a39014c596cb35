package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ryeweir/internal/crowd"
	"ryeweir/internal/processrig"
	"ryeweir/internal/testkit"
)

// site is the part of an agent's configuration that differs between deployments.
type site struct {
	settings string
	zone     string
	read     crowd.Request // of an idempotent class
	upload   crowd.Request // of a class that must not run twice
}

// orderCore is a deployment with the settings of the platform's example.
var orderCore = site{
	settings: `{"Balancers":3,"Me":2,"Family":"mesh","TickNs":5000000,"WeightKind":"silent","Discovery":"subscribe","OverShareWorth":0.2,
 "Ceilings":{"ConnIdleNs":10000000000,"ConnectTimeoutNs":100000000,"CpuUsPerS":80000,"MaxRetryAfterNs":2000000000,"MaxStreams":1,"MayCancel":true,"MostHeld":20000,"MostTries":5,"ParallelTries":true,"Probes":true,"RetryAfter":true},
 "Classes":[{"AimNs":500000000,"DeadlineNs":2000000000,"Effect":"repeatable","Group":"all","Name":"price-basket","WindowNs":5000000000,"Worth":1.0},
  {"AimNs":200000000,"DeadlineNs":800000000,"Effect":"once","Group":"all","Name":"place-order","WindowNs":5000000000,"Worth":8.0}],
 "Report":{"Fields":["qps","util"],"Via":"pull"},"Rules":{"ColdFrom":0.12,"ColdNs":24000000000,"DrainGraceNs":250000000,"FallNs":2000000000,"GraceToAnswerNs":20000000,"MustAskInNs":10000000000,"OverloadFactor":2.5},
 "Skus":["gen-a"],"Tenants":[{"Name":"ranmuthu-eats","Portion":0.56,"QuotaPerS":191.0},{"Name":"kottu-run","Portion":0.44,"QuotaPerS":82.0}],"Tiers":["order-api"],"WorthBy":"work","Zones":["colombo"]}`,
	zone:   "colombo",
	read:   crowd.Request{Method: "GET", Path: "/price-basket/a", Tenant: "ranmuthu-eats", Timeout: 2 * time.Second},
	upload: crowd.Request{Method: "POST", Path: "/place-order", Tenant: "ranmuthu-eats", Timeout: 800 * time.Millisecond},
}

// airport is a deployment whose lists are pushed, without health checks, and with a class whose requests have idempotency keys.
var airport = site{
	settings: testkit.SettingsText,
	zone:     "edinburgh-dc",
	read:     crowd.Request{Method: "GET", Path: "/form-check", Tenant: "glasgow-airport", Timeout: 2 * time.Second},
	upload:   crowd.Request{Method: "POST", Path: "/refund-record", Tenant: "lerwick-port", Key: "k", Timeout: 2 * time.Second},
}

// plainProgram builds the program without the race detector, whose memory is not that of a deployed agent, once for all tests.
var plainProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "ryeweir-test-")
	if err != nil {
		return "", err
	}
	build := exec.Command("go", "build", "-o", dir, ".")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the program: %w: %s", err, output)
	}
	return filepath.Join(dir, "ryeweir"), nil
})

// agentProcess is a real agent process.
type agentProcess struct {
	addr    string // for clients
	control string // for operators
	cmd     *exec.Cmd
	exited  chan struct{}
	log     *testkit.LockedBuffer
}

// agentOptions are the limits of an agent and what it shares with another process of it.
type agentOptions struct {
	site
	memoryMB    int
	descriptors int
	listener    *os.File // an inherited socket; nil for one of its own
	tmp         string   // folder for temporary files; empty for one of its own
	arguments   []string // further arguments of the command line
}

// startAgent starts an agent and waits until it takes clients. It ends with the test.
func startAgent(t *testing.T, options agentOptions, addr string, endpoints ...string) *agentProcess {
	t.Helper()
	program, err := plainProgram()
	if err != nil {
		t.Fatal(err)
	}
	list := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		list[i] = strings.Replace(testkit.EndpointJSON(fmt.Sprintf("s%d", i), endpoint, "Ready", 0), "edinburgh-dc", options.site.zone, 1)
	}
	discovery := testkit.NewDiscovery(t, 1, list...)
	dir := t.TempDir()
	if options.tmp == "" {
		options.tmp = dir
	}
	host := fmt.Sprintf("127.%d.%d.%d", 192+rand.IntN(60), rand.IntN(256), 1+rand.IntN(254)) // an own address, so that no other process takes its ports
	listen, control, err := processrig.FreePortPair(host, 0)
	if err != nil {
		t.Fatal(err)
	}
	a := &agentProcess{addr: addr, control: control, exited: make(chan struct{}), log: &testkit.LockedBuffer{}}
	if addr == "" {
		a.addr = listen
	}
	config := fmt.Sprintf(`{"name":"n2","listen":%q,"discovery":%q,"control":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		a.addr, discovery.Addr(), a.control, options.memoryMB, options.descriptors, testkit.EndpointListJSON(1, true, list...), options.site.settings)
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	a.cmd = exec.Command(program, append([]string{"agent"}, options.arguments...)...)
	a.cmd.Env = append(os.Environ(), "RYEWEIR_AS_PROGRAM=", "PROXY_CONFIG="+file, "TMPDIR="+options.tmp)
	if options.listener != nil {
		a.cmd.ExtraFiles = []*os.File{options.listener} // descriptor 3
		a.cmd.Env = append(a.cmd.Env, "PROXY_ACCEPT_FD=3")
	}
	a.cmd.Stdout, a.cmd.Stderr = a.log, a.log
	if err := a.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		a.cmd.Wait()
		close(a.exited)
	}()
	t.Cleanup(func() { a.kill() })
	testkit.Eventually(t, "the agent is ready", func() bool { return httpStatus("http://"+a.control+"/v1/readyz") == http.StatusOK })
	return a
}

// httpStatus returns the status of a GET, or 0 if there is none.
func httpStatus(url string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// running reports whether the process has not ended.
func (a *agentProcess) running() bool {
	select {
	case <-a.exited:
		return false
	default:
		return true
	}
}

func (a *agentProcess) terminate() { a.cmd.Process.Signal(syscall.SIGTERM) }

// kill ends the process at once and waits for its end.
func (a *agentProcess) kill() {
	a.cmd.Process.Kill()
	<-a.exited
}

// memoryKB returns a figure of /proc/PID/status, such as VmHWM or VmRSS, in kB; 0 after the process has ended.
func (a *agentProcess) memoryKB(figure string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", a.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, figure+":"); found {
			kB, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			return kB
		}
	}
	return 0
}

// inheritedListener returns a listening socket and its file, as a platform keeps them open for an agent's processes.
func inheritedListener(t *testing.T) (addr string, file *os.File) {
	t.Helper()
	l := testkit.Listen(t)
	file, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	return l.Addr().String(), file
}

// answer is the final answer to a request.
type answer struct {
	status int
	bytes  int64 // of the body
	took   time.Duration
	err    error // why it is not complete

	sentAfter time.Duration // from the beginning of the connect until the request was written
}

// send sends a request on a new connection and reads its answer.
func send(addr string, request crowd.Request, id string, limit time.Duration) (result answer) {
	began, sentAfter := time.Now(), time.Duration(0)
	defer func() { result.took, result.sentAfter = time.Since(began), sentAfter }()
	conn, err := net.DialTimeout("tcp", addr, limit)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	conn.SetDeadline(began.Add(limit))
	end := "\r\n"
	if request.Method == http.MethodPost {
		end = "Content-Length: 0\r\n\r\n"
	}
	if _, err := io.WriteString(conn, request.Head(id, "")+end); err != nil {
		return answer{err: err}
	}
	sentAfter = time.Since(began)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	n, err := io.Copy(io.Discard, response.Body)
	return answer{status: response.StatusCode, bytes: n, err: err}
}
