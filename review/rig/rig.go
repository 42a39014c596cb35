// Command reviewrig runs the cases of the review: stand-ins for the platform, discovery, order nodes and clients, and the project's own
// agent as a separate process, started with the command of deploy/balancer.toml.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	maxCase  = 115 * time.Second
	basket   = "price-basket"
	order    = "place-order"
	tenant   = "ranmuthu-eats"
	started  = "2006-01-02T15:04:05.000Z07:00"
	nodeName = "node-%d"
)

// settings is the settings object of the example in WIRE, "Read your settings": three agents, price-basket may be repeated, place-order
// must never run twice.
const settings = `{"Balancers": 3,
 "Blend": {"Whole": 0.35, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.35},
 "Callers": {"MarksRetry": false},
 "Ceilings": {"ConnIdleNs": 10000000000, "ConnectTimeoutNs": 100000000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 80000, "MaxRetryAfterNs": 2000000000, "MaxStreams": 1, "MayCancel": true, "MostHeld": 20000, "MostTries": 5, "ParallelTries": true, "Peers": false, "Probes": true, "RetryAfter": true},
 "Classes": [{"AimNs": 500000000, "DeadlineNs": 2000000000, "Effect": "repeatable", "Group": "all", "LateWorth": 0.5, "Name": "price-basket", "Streamed": false, "WindowNs": 5000000000, "Worth": 1.0}, {"AimNs": 200000000, "DeadlineNs": 800000000, "Effect": "once", "Group": "all", "LateWorth": 0.25, "Name": "place-order", "Streamed": false, "WindowNs": 5000000000, "Worth": 8.0}],
 "Discovery": "subscribe",
 "Domain": {"WarmKeys": true},
 "Family": "mesh",
 "Me": 2,
 "OverShareWorth": 0.2,
 "Prices": {"Connection": 0.0, "CrossZone": 0.01, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.03, "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.045, "Waste": 0.05},
 "Report": {"Fields": ["qps", "util"], "Via": "pull"},
 "Rules": {"ColdFrom": 0.12, "ColdNs": 24000000000, "DrainGraceNs": 250000000, "FallNs": 2000000000, "GraceToAnswerNs": 20000000, "MustAskInNs": 10000000000, "OverloadFactor": 2.5},
 "Skus": ["gen-a", "gen-b"],
 "Tenants": [{"Name": "ranmuthu-eats", "Portion": 0.56, "QuotaPerS": 191.0}, {"Name": "kottu-run", "Portion": 0.24, "QuotaPerS": 82.0}, {"Name": "bath-box", "Portion": 0.11, "QuotaPerS": 37.0}, {"Name": "sambol-go", "Portion": 0.09, "QuotaPerS": 31.0}],
 "TickNs": 5000000,
 "Tier": 0,
 "Tiers": ["order-api"],
 "WeightKind": "silent",
 "WorthBy": "work",
 "Zone": 2,
 "Zones": ["colombo", "kandy", "galle"]}`

// rig is one run of a case.
type rig struct {
	root    string // of the project
	dir     string // temporary folder
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record *os.File
	ends   []func()
}

// logf writes a line to record.txt, with the time since the start of the run.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// atEnd registers what has to be ended after the run; the last registered goes first.
func (r *rig) atEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, f)
}

func (r *rig) end() {
	for {
		r.mu.Lock()
		n := len(r.ends)
		if n == 0 {
			r.mu.Unlock()
			break
		}
		f := r.ends[n-1]
		r.ends = r.ends[:n-1]
		r.mu.Unlock()
		f()
	}
	os.RemoveAll(r.dir)
}

// unable ends a case that could not run.
type unable struct{ error }

func cannot(format string, args ...any) { panic(unable{fmt.Errorf(format, args...)}) }

// cases are the cases by name. Each returns held or broken.
var cases = map[string]func(*rig) int{}

func main() { os.Exit(run()) }

// run runs the case that the first argument names. The second is the path of record.txt.
func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return notRun
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.Close()
	root, err := os.Getwd()
	if err != nil {
		return notRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return notRun
	}
	r := &rig{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	r.logf("case %s, trouble %v, %s", os.Args[1], r.trouble, r.began.UTC().Format(started))
	defer r.end()
	defer func() {
		switch p := recover().(type) {
		case nil:
		case unable:
			r.logf("could not run: %v", p)
			code = notRun
		default:
			panic(p)
		}
		r.logf("exit %d", code)
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		r.logf("ended by %v", <-signals)
		r.end()
		os.Exit(notRun)
	}()
	time.AfterFunc(maxCase, func() {
		r.logf("the case took too long; exit %d", notRun)
		r.end()
		os.Exit(notRun)
	})
	return cases[os.Args[1]](r)
}

// deployCommand returns a command of the deploy file.
func (r *rig) deployCommand(key string) string {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	if err != nil {
		cannot("%v", err)
	}
	match := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		cannot("no %s in the deploy file", key)
	}
	return string(match[1])
}

// listen listens on a free port of a loopback address.
func (r *rig) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannot("%v", err)
	}
	r.atEnd(func() { l.Close() })
	return l
}

// freeAddr returns a loopback address that is free now.
func (r *rig) freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannot("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// agent is the project's agent as a separate process.
type agent struct {
	rig           *rig
	addr, control string
	cmd           *exec.Cmd
	exited        chan struct{}
}

// startAgent starts an agent by the command run of the deploy file, and waits until it is ready.
func (r *rig) startAgent(discovery, known, settings string) *agent {
	a := &agent{rig: r, addr: r.freeAddr(), control: r.freeAddr(), exited: make(chan struct{})}
	tmp := filepath.Join(r.dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		cannot("%v", err)
	}
	if known == "" {
		known = "null"
	}
	config := fmt.Sprintf(`{"name":"n2","listen":%q,"discovery":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		a.addr, discovery, uint64(time.Now().UnixNano()), known, settings)
	file := filepath.Join(r.dir, "config.json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		cannot("%v", err)
	}
	log, err := os.Create(filepath.Join(r.dir, "agent.log"))
	if err != nil {
		cannot("%v", err)
	}
	command := r.deployCommand("run")
	a.cmd = exec.Command("/bin/sh", "-c", command)
	a.cmd.Dir = r.root
	a.cmd.Env = append(os.Environ(), "PROXY_NAME=n2", "PROXY_LISTEN="+a.addr, "PROXY_DISCOVERY="+discovery, "PROXY_CONTROL="+a.control,
		"PROXY_CONFIG="+file, "TMPDIR="+tmp)
	a.cmd.Stdout, a.cmd.Stderr = log, log
	a.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := a.cmd.Start(); err != nil {
		cannot("start the agent: %v", err)
	}
	r.logf("agent started: %s (pid %d), clients at %s, operators at %s", command, a.cmd.Process.Pid, a.addr, a.control)
	go func() {
		err := a.cmd.Wait()
		r.logf("agent ended: %v", err)
		close(a.exited)
	}()
	r.atEnd(func() {
		a.cmd.Process.Kill()
		<-a.exited
		log.Close()
		if text, err := os.ReadFile(log.Name()); err == nil {
			r.logf("log of the agent:\n%s", text)
		}
	})
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + a.addr + "/ready")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.logf("agent ready")
				return a
			}
		}
		if time.Now().After(limit) {
			cannot("the agent is not ready")
		}
	}
}

// running reports whether the agent's process has not ended.
func (a *agent) running() bool {
	select {
	case <-a.exited:
		return false
	default:
		return true
	}
}

// metrics returns the agent's figures, for record.txt.
func (a *agent) metrics() string {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + a.control + "/v1/metrics")
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	var out bytes.Buffer
	json.Compact(&out, text)
	return out.String()
}

// entry is an entry of the endpoint list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a stand-in for the discovery service. It tells changes as PROTOCOL says.
type discovery struct {
	rig    *rig
	addr   string
	l      net.Listener
	server *http.Server

	mu      sync.Mutex
	changed chan struct{}
	version int64
	servers []entry
	at      map[string]int64 // version of the latest change, by id
	delay   time.Duration    // before each answer is written
	watches int              // calls that may wait
}

func (r *rig) startDiscovery(servers []entry) *discovery {
	l := r.listen()
	d := &discovery{rig: r, addr: l.Addr().String(), l: l, changed: make(chan struct{}), version: 41, servers: servers, at: map[string]int64{}}
	for _, s := range servers {
		d.at[s.ID] = d.version
	}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(l)
	r.atEnd(func() { d.server.Close() })
	return d
}

// set changes the state of an entry.
func (d *discovery) set(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for i := range d.servers {
		if d.servers[i].ID == id {
			d.servers[i].State = state
			d.at[id] = d.version
		}
	}
	d.rig.logf("discovery: version %d, %s is %s", d.version, id, state)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) setDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// known returns the whole list as JSON.
func (d *discovery) known() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.text(-1)
}

// text returns the list of what has changed since a version, or the whole list. The lock must be held.
func (d *discovery) text(since int64) string {
	l := list{Version: d.version, Full: since < 0, Servers: []entry{}}
	for _, s := range d.servers {
		if d.at[s.ID] > since && (since >= 0 || s.State != "Gone") {
			l.Servers = append(l.Servers, s)
		}
	}
	text, _ := json.Marshal(l)
	return string(text)
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	if err != nil {
		since = -1
	}
	wait, _ := strconv.Atoi(query.Get("timeout_ms"))
	d.rig.logf("discovery: asked %s", request.URL.RequestURI())
	limit := time.After(time.Duration(min(wait, 60_000)) * time.Millisecond)
	d.mu.Lock()
	if wait > 0 {
		d.watches++
	}
	for waiting := true; waiting && since >= d.version; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
			waiting = false
		case <-request.Context().Done():
			d.rig.logf("discovery: the caller of %s has left", request.URL.RequestURI())
			return
		}
		d.mu.Lock()
	}
	text, delay := d.text(since), d.delay
	d.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-request.Context().Done():
			d.rig.logf("discovery: the caller of %s has left before its answer", request.URL.RequestURI())
			return
		}
	}
	d.rig.logf("discovery: answers %s with %s", request.URL.RequestURI(), text)
	io.WriteString(w, text)
}

// call is a request as a node has read it.
type call struct {
	*http.Request
	id      string
	body    []byte
	first   time.Time // when its first byte had arrived
	arrived time.Time // when its last byte had arrived
}

// node is a stand-in for an order node. It reads each request completely, then answer writes the response; false closes the connection.
type node struct {
	entry
	rig    *rig
	answer func(c net.Conn, call *call) bool
	probed func(c net.Conn, text string) // answers a probe; nil answers at once
	mu     sync.Mutex
	calls  []*call
	conns  map[net.Conn]bool
	l      net.Listener
}

// startNodes starts n nodes with the same answer.
func (r *rig) startNodes(n int, answer func(node *node, c net.Conn, call *call) bool) (nodes []*node) {
	for i := range n {
		l := r.listen()
		zones := []string{"colombo", "kandy", "galle"}
		s := &node{rig: r, l: l, conns: map[net.Conn]bool{}, entry: entry{ID: fmt.Sprintf(nodeName, i), Addr: l.Addr().String(), Zone: zones[i%3], Kind: "gen-a",
			Cell: i, State: "Ready", Weight: 1}}
		s.answer = func(c net.Conn, call *call) bool { return answer(s, c, call) }
		go s.serve()
		r.atEnd(s.stop)
		nodes = append(nodes, s)
	}
	return nodes
}

func entries(nodes []*node) (servers []entry) {
	for _, n := range nodes {
		servers = append(servers, n.entry)
	}
	return servers
}

func (s *node) serve() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

// count returns the number of requests read so far.
func (s *node) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

func (s *node) stop() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *node) serveConn(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			s.rig.logf("%s: a request %s broke off after %d bytes of its body", s.ID, request.Header.Get("X-Request-ID"), len(body))
			return
		}
		if path := request.URL.Path; path == "/health" || path == "/status/load" {
			if s.probed != nil {
				s.probed(c, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nqps=40,util=0.3")
				continue
			}
			if !respond(c, "200 OK", "", []byte("qps=40,util=0.3")) {
				return
			}
			continue
		}
		got := &call{Request: request, id: request.Header.Get("X-Request-ID"), body: body, first: first, arrived: time.Now()}
		s.mu.Lock()
		s.calls = append(s.calls, got)
		s.mu.Unlock()
		s.rig.logf("%s: read %s %s, id %s, X-Timeout %s, body of %d bytes", s.ID, request.Method, request.URL.RequestURI(), got.id,
			request.Header.Get("X-Timeout"), len(body))
		if !s.answer(c, got) {
			return
		}
	}
}

// respond writes a response with a length.
func respond(c net.Conn, status, header string, body []byte) bool {
	_, err := c.Write(append(fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n", status, header, len(body)), body...))
	return err == nil
}

// head returns the head of a client's request.
func head(class, id string, timeout time.Duration, length int) string {
	return headFor(class, tenant, id, timeout, length)
}

// headFor is head for a tenant. A request of any class but those that may be repeated is a POST.
func headFor(class, tenant, id string, timeout time.Duration, length int) string {
	method, extra := "GET", ""
	if class != basket && class != "status-read" {
		method, extra = "POST", fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Tenant-Id: %s\r\nX-Route-Key: %s\r\nX-Timeout: %dm\r\n%s\r\n",
		method, class, id, tenant, "k"+id, timeout.Milliseconds(), extra)
}

var idCount struct {
	sync.Mutex
	n uint64
}

// newID returns a request id that was not used before.
func newID() string {
	idCount.Lock()
	defer idCount.Unlock()
	idCount.n++
	return fmt.Sprintf("%08x%08x", os.Getpid(), idCount.n)
}

func (r *rig) dial(addr string) net.Conn {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		cannot("connect to the agent: %v", err)
	}
	r.atEnd(func() { c.Close() })
	return c
}

// exchange sends one request on a new connection and returns the status and the body of the answer.
func (r *rig) exchange(addr, class string, body []byte, timeout time.Duration) (id string, status int, got []byte, err error) {
	return r.exchangeFor(addr, class, tenant, body, timeout)
}

func (r *rig) exchangeFor(addr, class, tenant string, body []byte, timeout time.Duration) (id string, status int, got []byte, err error) {
	id = newID()
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return id, 0, nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(timeout + 5*time.Second))
	if _, err = c.Write(append([]byte(headFor(class, tenant, id, timeout, len(body))), body...)); err != nil {
		return id, 0, nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return id, 0, nil, err
	}
	got, err = io.ReadAll(response.Body)
	return id, response.StatusCode, got, err
}
