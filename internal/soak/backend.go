package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ryeweir/internal/httpmsg"
)

// Attempt is what a backend recorded of one request that it received. Times are of the machine's monotonic clock.
type Attempt struct {
	Request       string        `json:"request"`
	Backend       string        `json:"backend"`
	Instance      int           `json:"instance"` // which process of the backend, from 1
	Peer          string        `json:"peer"`     // the address at the other end of the connection
	Class         string        `json:"class"`
	FirstByteAt   time.Duration `json:"first"`     // when its first byte was read
	CompleteAt    time.Duration `json:"whole"`     // when its last byte was read; 0: never
	StatedTimeout time.Duration `json:"stated"`    // X-Timeout; negative if it is missing or unreadable
	Processed     bool          `json:"processed"` // false: rejected or incomplete
	ResponseBody  string        `json:"answer"`    // the body of a successful response to it
	Mode          Mode          `json:"did"`       // how the backend responded
	GivesFrom     time.Duration `json:"gives"`     // when it begins to give a SlowAnswer; 0 in other modes
}

// backend is the state of a backend's process.
type backend struct {
	id       string
	instance int
	out      *json.Encoder
	outLock  sync.Mutex

	mu     sync.Mutex
	rng    *rand.Rand
	modes  map[Mode]float64 // the probability of each
	open   map[net.Conn]bool
	serial int // number of the latest complete request
}

// RunBackend serves requests on a listener and writes an Attempt for each to out as JSON. It returns nil when the commands end or ctx is
// canceled. Each command is a line: "mode NAME PROBABILITY" sets the probability of a mode, and "resetall" resets all connections.
func RunBackend(ctx context.Context, listener net.Listener, id string, instance int, seed uint64, commands io.Reader, out io.Writer) error {
	b := &backend{id: id, instance: instance, out: json.NewEncoder(out), rng: rand.New(rand.NewPCG(seed, uint64(instance))),
		modes: map[Mode]float64{}, open: map[net.Conn]bool{}}
	go func() {
		lines := bufio.NewScanner(commands)
		for lines.Scan() {
			b.command(strings.Fields(lines.Text()))
		}
		listener.Close()
	}()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return nil // the commands have ended or ctx is canceled
		}
		go b.serve(conn.(*net.TCPConn))
	}
}

// command executes one command, given as its words. It ignores an unknown one.
func (b *backend) command(words []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case len(words) == 3 && words[0] == "mode":
		b.modes[Mode(words[1])], _ = strconv.ParseFloat(words[2], 64)
	case len(words) == 1 && words[0] == "resetall":
		for c := range b.open {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

// drawMode draws the mode of the response to the next request.
func (b *backend) drawMode() Mode {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, mode := range append(slices.Clone(backendModes), slowModes...) {
		if p := b.modes[mode]; p > 0 && b.rng.Float64() < p {
			return mode
		}
	}
	return ""
}

func (b *backend) randomDuration(least, most time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return least + time.Duration(b.rng.Float64()*float64(most-least))
}

func (b *backend) record(a Attempt) {
	b.outLock.Lock()
	defer b.outLock.Unlock()
	b.out.Encode(a) // fails only after the soak test has exited
}

// idleLimit is how long a backend keeps an idle connection open. The agents' settings state the same limit.
const idleLimit = 4 * time.Second

// serve serves the requests of one connection, one after another, and closes it.
func (b *backend) serve(conn *net.TCPConn) {
	b.mu.Lock()
	b.open[conn] = true
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.open, conn)
		b.mu.Unlock()
		conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		limit := idleLimit
		b.mu.Lock()
		if b.modes[CloseIdle] > 0 {
			limit = 20 * time.Millisecond
		}
		b.mu.Unlock()
		conn.SetReadDeadline(time.Now().Add(limit))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		conn.SetReadDeadline(time.Time{})
		attempt := Attempt{Backend: b.id, Instance: b.instance, Peer: conn.RemoteAddr().String(), FirstByteAt: monotonic()}
		if !b.exchange(conn, reader, attempt) {
			return
		}
	}
}

// exchange reads a request, records it and responds, and reports whether the connection stays open.
func (b *backend) exchange(conn *net.TCPConn, reader *bufio.Reader, attempt Attempt) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		b.record(attempt)
		return false
	}
	attempt.Request, attempt.Class = request.Header.Get("X-Request-Id"), strings.Trim(request.URL.Path, "/")
	attempt.StatedTimeout = statedTimeout(request.Header.Get(httpmsg.TimeoutHeader))
	mode := b.drawMode()
	if mode == EarlyResponse && request.ContentLength > httpmsg.MaxBufferedBytes {
		attempt.Mode = mode
		b.record(attempt)
		io.WriteString(conn, "HTTP/1.1 500 Early\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		conn.CloseWrite()
		conn.SetReadDeadline(time.Now().Add(time.Second))
		io.Copy(io.Discard, reader)
		return false
	}
	if err := b.readBody(conn, request.Body, mode); err != nil {
		b.record(attempt)
		return false
	}
	attempt.CompleteAt, attempt.Mode = monotonic(), mode
	b.mu.Lock()
	b.serial++
	attempt.ResponseBody = fmt.Sprintf("%s by %s.%d no %d", attempt.Request, b.id, b.instance, b.serial)
	b.mu.Unlock()
	if mode == SlowAnswer {
		attempt.GivesFrom = attempt.CompleteAt + b.randomDuration(0, max(0, min(attempt.StatedTimeout, 2*time.Second)))
	}
	attempt.Processed = mode != Reject && mode != DelayedReject
	b.record(attempt) // before the response, so that no client gets a response whose attempt is not recorded
	return b.respond(conn, attempt, mode)
}

// readBody reads the body of a request in the given mode.
func (b *backend) readBody(conn *net.TCPConn, body io.Reader, mode Mode) error {
	if mode == SlowReader {
		conn.SetReadBuffer(slowReadBuffer)
		return b.readSlowly(body)
	}
	_, err := io.Copy(io.Discard, body)
	return err
}

// statedTimeout parses the value of X-Timeout in microseconds, and returns -1 if it is missing or unreadable.
func statedTimeout(text string) time.Duration {
	n, err := strconv.ParseInt(strings.TrimSuffix(text, "u"), 10, 64)
	if err != nil {
		return -1
	}
	return time.Duration(n) * time.Microsecond
}
