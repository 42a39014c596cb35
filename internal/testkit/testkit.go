// Package testkit holds what the tests of several packages need: a backend and a discovery that do as a script says, on the
// loopback interface.
package testkit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// WaitTimeout is how long a test waits for what must come; machines are noisy.
const WaitTimeout = 20 * time.Second

// SettingsText is a settings object.
const SettingsText = `{"Balancers":2,"Me":0,"TickNs":5000000,"WeightKind":"silent","Discovery":"automatic",
 "Ceilings":{"ConnIdleNs":15000000000,"ConnectTimeoutNs":5000000000,"MaxRetryAfterNs":1000000000,"MostHeld":1000,"MostTries":5,"ParallelTries":true,"RetryAfter":false},
 "Classes":[{"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"repeatable","Group":"all","Name":"form-check","Worth":2},
  {"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"by_key","Group":"cell","Name":"refund-record","WindowNs":2000000000,"Worth":10},
  {"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"once","Name":"pay","Worth":1}],
 "Report":{"Fields":["util","qps","eps"],"Via":"piggyback"},"Rules":{"ColdFrom":0.32,"ColdNs":8700000000,"OverloadFactor":3},
 "Tenants":[{"Name":"glasgow-airport","Portion":0.5},{"Name":"lerwick-port","Portion":0.5}],"OverShareWorth":0.1,
 "Zones":["edinburgh-dc"]}`

// ConfigText is the text of an agent's configuration file.
func ConfigText(discovery, known string) []byte {
	return fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`, discovery, known, SettingsText)
}

// NoEnv is an environment with nothing in it.
func NoEnv(string) string { return "" }

// Listen opens a port of the loopback that closes with the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// RefusingAddr is an address at which nothing listens.
func RefusingAddr(t *testing.T) string {
	l := Listen(t)
	l.Close()
	return l.Addr().String()
}

// Eventually waits until ok holds.
func Eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("waited %v in vain: %s", WaitTimeout, what)
}

// Backend reads requests whole and lets a script answer. The script returns false to close the connection.
type Backend struct {
	net.Listener
	mu     sync.Mutex
	Seen   []*http.Request
	Bodies []string
	conns  int
}

// NewBackend starts a backend that ends with the test.
func NewBackend(t *testing.T, script func(c net.Conn, r *http.Request, n int) bool) *Backend {
	b := &Backend{Listener: Listen(t)}
	var all sync.WaitGroup
	t.Cleanup(func() { b.Close(); all.Wait() })
	all.Go(func() {
		for {
			c, err := b.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns++
			b.mu.Unlock()
			t.Cleanup(func() { c.Close() })
			all.Go(func() { b.serve(c, script) })
		}
	})
	return b
}

func (b *Backend) serve(c net.Conn, script func(c net.Conn, r *http.Request, n int) bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.Seen, b.Bodies = append(b.Seen, r), append(b.Bodies, string(body))
		n := len(b.Seen)
		b.mu.Unlock()
		if !script(c, r, n) {
			return
		}
	}
}

// Requests is how many have come.
func (b *Backend) Requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.Seen)
}

// Connections is how many were opened.
func (b *Backend) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns
}

// RespondWith is a script that always gives the same answer.
func RespondWith(text string) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, _ *http.Request, _ int) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// CloseConnection is a script that closes the connection instead of an answer.
func CloseConnection(net.Conn, *http.Request, int) bool { return false }

// NeverRespond is a script that takes a request and never answers.
func NeverRespond(c net.Conn, _ *http.Request, _ int) bool {
	io.Copy(io.Discard, c)
	return false
}

// OKResponse is a whole answer with a load report.
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Server-Load: util=0.5,qps=10,eps=0\r\n\r\nfine"

// EndpointJSON is a list entry in discovery's form.
func EndpointJSON(id, addr, state string, started int64) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"edinburgh-dc","kind":"twin-core","cell":1,"state":%q,"weight":1,"started_ms":%d}`,
		id, addr, state, started)
}

// EndpointListJSON is a list in discovery's form.
func EndpointListJSON(version int, full bool, entries ...string) string {
	text := "["
	for i, e := range entries {
		if i > 0 {
			text += ","
		}
		text += e
	}
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":%s]}`, version, full, text)
}

// Discovery answers calls with what the test has set last, and watches when that is newer.
type Discovery struct {
	net.Listener
	mu      sync.Mutex
	version int
	text    string // for watches
	whole   string
	mute    bool // never respond, as in an outage
	wholes  int  // calls for the whole list
	watches int
}

// NewDiscovery starts a discovery that ends with the test.
func NewDiscovery(t *testing.T, version int, entries ...string) *Discovery {
	d := &Discovery{Listener: Listen(t)}
	d.Set(version, true, entries...)
	srv := &http.Server{Handler: d}
	var running sync.WaitGroup
	running.Go(func() { srv.Serve(d) })
	t.Cleanup(func() { srv.Close(); running.Wait() })
	return d
}

// Set states a list; what is not full is a change, and calls for the whole list go on to get the last full one.
func (d *Discovery) Set(version int, full bool, entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.text = version, EndpointListJSON(version, full, entries...)
	if full {
		d.whole = d.text
	}
}

// SetSilent makes it say nothing, as in an outage, or ends that.
func (d *Discovery) SetSilent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mute = on
}

// Calls counts those for the whole list and the watches.
func (d *Discovery) Calls() (wholes, watches int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wholes, d.watches
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	d.mu.Lock()
	if watch := err == nil; watch {
		d.watches++
	} else {
		d.wholes++
	}
	d.mu.Unlock()
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for r.Context().Err() == nil {
		d.mu.Lock()
		mute, version, text, whole := d.mute, d.version, d.text, d.whole
		d.mu.Unlock()
		switch {
		case mute:
		case err != nil:
			io.WriteString(w, whole)
			return
		case version > since:
			io.WriteString(w, text)
			return
		case time.Now().After(end):
			io.WriteString(w, EndpointListJSON(since, false))
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// LockedBuffer is a log that tests read while it is written.
type LockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *LockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Count is how often the text is in it.
func (b *LockedBuffer) Count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Count(b.buf.Bytes(), []byte(text))
}

// String is all that is in it.
func (b *LockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
