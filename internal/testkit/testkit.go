// Package testkit provides what the tests of several packages share: a scripted backend and a discovery server on the loopback
// interface, configuration texts, a log buffer, and functions that wait for a condition or list the keys of an encoding.
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

	"golang.org/x/sys/unix"
)

// WaitTimeout is how long a test waits for a condition before it fails. It is generous because the machines that run tests may be busy.
const WaitTimeout = 20 * time.Second

// SettingsText is the settings object of ConfigText.
const SettingsText = `{"Balancers":2,"Me":0,"TickNs":5000000,"WeightKind":"silent","Discovery":"automatic",
 "Ceilings":{"ConnIdleNs":15000000000,"ConnectTimeoutNs":5000000000,"MaxRetryAfterNs":1000000000,"MostHeld":1000,"MostTries":5,"ParallelTries":true,"RetryAfter":false},
 "Classes":[{"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"repeatable","Group":"all","Name":"form-check","Worth":2},
  {"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"by_key","Group":"cell","Name":"refund-record","WindowNs":2000000000,"Worth":10},
  {"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"once","Name":"pay","Worth":1}],
 "Report":{"Fields":["util","qps","eps"],"Via":"piggyback"},"Rules":{"ColdFrom":0.32,"ColdNs":8700000000,"OverloadFactor":3},
 "Tenants":[{"Name":"glasgow-airport","Portion":0.5},{"Name":"lerwick-port","Portion":0.5}],"OverShareWorth":0.1,
 "Zones":["edinburgh-dc"]}`

// ConfigText returns the text of an agent's configuration file. The argument known is its cached endpoint list in JSON, or null.
func ConfigText(discovery, known string) []byte {
	return fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`, discovery, known, SettingsText)
}

// NoEnv is a getenv function for an environment without variables.
func NoEnv(string) string { return "" }

// Listen listens on a free port of the loopback interface until the test ends.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// RefusingAddr returns an address that refuses connections until the test ends. A socket that does not listen holds its port, so that no
// other process or test can listen there in the meantime.
func RefusingAddr(t *testing.T) string {
	t.Helper()
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(descriptor) })
	if err := unix.Bind(descriptor, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(descriptor)
	if err != nil {
		t.Fatal(err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
}

// Eventually waits until ok returns true, and fails the test if it does not within WaitTimeout. The text names the condition.
func Eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", WaitTimeout, condition)
}

// Backend is an endpoint that reads each request completely and then calls a script, which writes the response. The script receives
// the connection, the request and the number of requests read so far. It returns false to close the connection.
type Backend struct {
	net.Listener
	mu     sync.Mutex
	Seen   []*http.Request // the requests read so far
	Bodies []string        // their bodies
	conns  int
}

// NewBackend starts a backend that runs until the test ends.
func NewBackend(t *testing.T, script func(c net.Conn, r *http.Request, n int) bool) *Backend {
	b := &Backend{Listener: Listen(t)}
	var running sync.WaitGroup
	t.Cleanup(func() { b.Close(); running.Wait() })
	running.Go(func() {
		for {
			c, err := b.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns++
			b.mu.Unlock()
			t.Cleanup(func() { c.Close() })
			running.Go(func() { b.serve(c, script) })
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

// Requests returns the number of requests read so far.
func (b *Backend) Requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.Seen)
}

// Connections returns the number of connections accepted so far.
func (b *Backend) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns
}

// RespondWith returns a script that sends the same response to each request.
func RespondWith(response string) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, _ *http.Request, _ int) bool {
		_, err := io.WriteString(c, response)
		return err == nil
	}
}

// CloseConnection is a script that closes the connection without a response.
func CloseConnection(net.Conn, *http.Request, int) bool { return false }

// NeverRespond is a script that sends no response and keeps the connection open until the client closes it.
func NeverRespond(c net.Conn, _ *http.Request, _ int) bool {
	io.Copy(io.Discard, c)
	return false
}

// OKResponse is a complete 200 response with a load report.
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Server-Load: util=0.5,qps=10,eps=0\r\n\r\nfine"

// EndpointJSON returns an entry of discovery's endpoint list. The start time is in Unix milliseconds.
func EndpointJSON(id, addr, state string, startedUnixMilli int64) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"edinburgh-dc","kind":"twin-core","cell":1,"state":%q,"weight":1,"started_ms":%d}`,
		id, addr, state, startedUnixMilli)
}

// EndpointListJSON returns an endpoint list, or a change of one, as discovery sends it.
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

// Discovery is a discovery server. It serves the list that the test has set last: at once to a request for the full list, and to a
// watch when the list is newer than the version that the watch names.
type Discovery struct {
	net.Listener
	mu           sync.Mutex
	version      int
	current      string // what watches receive: a full list or a change
	fullList     string // the last full list
	outage       bool   // requests get no response
	fullRequests int    // number of requests for the full list
	watches      int    // number of watches
}

// NewDiscovery starts a discovery server with this full list, which runs until the test ends.
func NewDiscovery(t *testing.T, version int, entries ...string) *Discovery {
	d := &Discovery{Listener: Listen(t)}
	d.Set(version, true, entries...)
	srv := &http.Server{Handler: d}
	var running sync.WaitGroup
	running.Go(func() { srv.Serve(d) })
	t.Cleanup(func() { srv.Close(); running.Wait() })
	return d
}

// Set sets the list. If full is false, it is a change: watches receive it, and requests for the full list still get the last full one.
func (d *Discovery) Set(version int, full bool, entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.current = version, EndpointListJSON(version, full, entries...)
	if full {
		d.fullList = d.current
	}
}

// SetSilent starts or ends an outage, in which requests get no response.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outage = silent
}

// Calls returns the number of requests for the full list and the number of watches.
func (d *Discovery) Calls() (fullRequests, watches int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullRequests, d.watches
}

// ServeHTTP serves a request for the full list or, if it has the parameter since, a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	d.mu.Lock()
	if watch := err == nil; watch {
		d.watches++
	} else {
		d.fullRequests++
	}
	d.mu.Unlock()
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for r.Context().Err() == nil {
		d.mu.Lock()
		outage, version, current, fullList := d.outage, d.version, d.current, d.fullList
		d.mu.Unlock()
		switch {
		case outage:
		case err != nil:
			io.WriteString(w, fullList)
			return
		case version > since:
			io.WriteString(w, current)
			return
		case time.Now().After(end):
			io.WriteString(w, EndpointListJSON(since, false))
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// LockedBuffer is a buffer for a log that a test reads while other goroutines write it.
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

// Count returns the number of times that the text occurs in the buffer.
func (b *LockedBuffer) Count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Count(b.buf.Bytes(), []byte(text))
}

// String returns the content of the buffer.
func (b *LockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
