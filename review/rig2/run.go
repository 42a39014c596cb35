package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// run is one play of a case: its record, its temporary folder and the processes that it started.
type run struct {
	trouble bool // TROUBLE=0 leaves the disruption out
	root    string
	dir     string
	began   time.Time

	mu        sync.Mutex
	file      *os.File
	out       *bufio.Writer
	processes []*process
	work      map[string][]work // what servers began, by request ID
	unable    map[string]bool   // IDs of the requests whose answer a server could not give to its end
}

// work is one execution of a request.
type work struct {
	server string
	at     time.Time
}

// began records that a server began a request.
func (r *run) beganWork(server, id string) {
	r.note("server", "%s began %s", server, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work[id] = append(r.work[id], work{server, time.Now()})
}

// noteUnable records that a server could not give an answer to its end.
func (r *run) noteUnable(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unable[id] = true
}

// couldNotGive reports whether a server could not give the answer to a request to its end.
func (r *run) couldNotGive(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unable[id]
}

// serverOf returns the server that began a request first, or "".
func (r *run) serverOf(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if begun := r.work[id]; len(begun) > 0 {
		return begun[0].server
	}
	return ""
}

// newRun opens the record and makes the temporary folder. The working folder must be the root of the project.
func newRun(record string) (*run, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &run{trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, began: time.Now(), file: file, out: bufio.NewWriter(file), work: map[string][]work{}, unable: map[string]bool{}}, nil
}

// note writes one line to the record, with the time since the start in milliseconds.
func (r *run) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.1f %-10s %s\n", float64(time.Since(r.began).Microseconds())/1000, who, fmt.Sprintf(format, args...))
}

// end ends all processes that are left and removes the temporary folder.
func (r *run) end() error {
	for _, p := range r.processes {
		p.kill()
	}
	return os.RemoveAll(r.dir)
}

func (r *run) closeRecord() {
	r.out.Flush()
	r.file.Close()
}

// process is a process that the run started, in a group of its own.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts a command. Its error output goes to a file in the temporary folder.
func (r *run) start(name string, cmd *exec.Cmd) (*process, error) {
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	r.processes = append(r.processes, p)
	go func() {
		defer close(p.ended)
		err := cmd.Wait()
		r.note(name, "process ended: %v", err)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { syscall.Kill(p.cmd.Process.Pid, s) }

// running reports whether the process has not ended yet.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill ends the process, also a stopped one, and waits for its end.
func (p *process) kill() {
	if p.running() {
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// settings is the object of the platform's page on the wire, with the figures of the site order-core.
const settings = `{"Balancers": 3,
 "Blend": {"Whole": 0.35, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.35},
 "Callers": {"MarksRetry": false},
 "Ceilings": {"ConnIdleNs": 10000000000, "ConnectTimeoutNs": 100000000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 80000, "MaxRetryAfterNs": 2000000000, "MaxStreams": 1, "MayCancel": true, "MostHeld": 20000, "MostTries": 5, "ParallelTries": true, "Peers": false, "Probes": true, "RetryAfter": true},
 "Classes": [{"AimNs": 500000000, "DeadlineNs": 2000000000, "Effect": "repeatable", "Group": "all", "LateWorth": 0.5, "Name": "price-basket", "Streamed": false, "WindowNs": 5000000000, "Worth": 1.0},
  {"AimNs": 200000000, "DeadlineNs": 800000000, "Effect": "once", "Group": "all", "LateWorth": 0.25, "Name": "place-order", "Streamed": false, "WindowNs": 5000000000, "Worth": 8.0}],
 "Discovery": "subscribe", "Domain": {"WarmKeys": true}, "Family": "mesh", "Me": 0, "OverShareWorth": 0.2,
 "Prices": {"Connection": 0.0, "CrossZone": 0.01, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.03, "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.045, "Waste": 0.05},
 "Report": {"Fields": ["qps", "util"], "Via": "pull"},
 "Rules": {"ColdFrom": 0.12, "ColdNs": 24000000000, "DrainGraceNs": 250000000, "FallNs": 2000000000, "GraceToAnswerNs": 20000000, "MustAskInNs": 10000000000, "OverloadFactor": 2.5},
 "Skus": ["gen-a", "gen-b"],
 "Tenants": [{"Name": "ranmuthu-eats", "Portion": 0.56, "QuotaPerS": 191.0}, {"Name": "kottu-run", "Portion": 0.24, "QuotaPerS": 82.0}, {"Name": "bath-box", "Portion": 0.11, "QuotaPerS": 37.0}, {"Name": "sambol-go", "Portion": 0.09, "QuotaPerS": 31.0}],
 "TickNs": 5000000, "Tier": 0, "Tiers": ["order-api"], "WeightKind": "silent", "WorthBy": "work", "Zone": 0, "Zones": ["colombo", "kandy", "galle"]}`

// agent is a started agent.
type agent struct {
	*process
	listen string
	config string // path of its configuration
	limits limits
	known  list
}

// limits are what the platform grants an agent.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// usualLimits are the limits of the example in the page on the deployment's scored days.
var usualLimits = limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

// startAgent starts an agent with the command of the deploy file and waits until it is ready.
func (r *run) startAgent(discovery string, known list, granted limits) (*agent, error) {
	command, err := r.deployCommand("run")
	if err != nil {
		return nil, err
	}
	a := &agent{listen: freeAddr(), config: filepath.Join(r.dir, "config.json"), limits: granted, known: known}
	if err := a.writeConfig(discovery); err != nil {
		return nil, err
	}
	temporary := filepath.Join(r.dir, "tmp")
	if err := os.Mkdir(temporary, 0o700); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = r.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + temporary, "PROXY_NAME=n0", "PROXY_LISTEN=" + a.listen,
		"PROXY_DISCOVERY=" + discovery, "PROXY_CONFIG=" + a.config}
	if a.process, err = r.start("agent", cmd); err != nil {
		return nil, err
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && a.running(); time.Sleep(50 * time.Millisecond) {
		if answer, err := http.Get("http://" + a.listen + "/ready"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				r.note("platform", "agent ready at %s", a.listen)
				return a, nil
			}
		}
	}
	return nil, errors.New("the agent did not get ready")
}

// writeConfig replaces the configuration file as a whole.
func (a *agent) writeConfig(discovery string) error {
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": a.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": a.limits, "known": a.known, "settings": json.RawMessage(settings),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(a.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(a.config+".new", a.config)
}

// deployCommand returns a command of the deploy file.
func (r *run) deployCommand(key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindSubmatch(text)
	if found == nil {
		return "", fmt.Errorf("no %s in the deploy file", key)
	}
	return string(found[1]), nil
}

// freeAddr returns a free loopback address.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer l.Close()
	return l.Addr().String()
}
