// Package backend puts an order node on a listener: HTTP/1.1 as the platform's protocol has it, round the node's model.
package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ryeweir/internal/emulator/node"
)

// Observer sees what happens at a node. Its methods are called without a lock of the backend's.
type Observer interface {
	KnownRequest(id string) bool // whether a caller sent such a request
	RequestArrived(id, node string, first time.Duration)
	ExecutionStarted(id, node string, at time.Duration)
	ResponseProduced(id string, sum uint64)
	SlowStartOverloaded(node string, at time.Duration)
}

// Config is what a backend is given.
type Config struct {
	Listen   func() (net.Listener, error) // called at each start of the process
	Epoch    time.Time                    // when the node's time is 0
	Observer Observer                     // may be nil
	// Unsaid says whether who sent a request had not been told of the node's life that began then; may be nil.
	Unnotified       func(id, node string, started time.Duration) bool
	RejectUnknown    bool          // a request that no caller sent gets 400
	IdleTimeout      time.Duration // connections idle for so long are closed; 0 for never
	LoadReportMode   string        // how load is reported: piggyback, pull or silent
	LoadReportFields []string      // of a load report
	MaxConns         int           // connections that are served at a time; 0 for 4,096
}

const (
	maxRequestBytes   = 32 << 20
	defaultMaxConns   = 4096
	idleSweepInterval = 100 * time.Millisecond
	defaultWork       = 30 * time.Millisecond // of a request that does not say
	// The figures in X-Attrs that the emulator's callers send and its nodes read.
	attrWork         = "work"   // microseconds on a core of speed 1
	attrAnswer       = "answer" // bytes
	maxResponseBytes = 32 << 20
)

// Backend is an order node at an address, through its lives.
type Backend struct {
	cfg        Config
	goroutines sync.WaitGroup // connections and the driver
	stop       context.CancelFunc

	mu               sync.Mutex
	node             *node.Node
	listener         net.Listener // nil while the process is down
	conns            map[*conn]struct{}
	lastTicket       uint64
	waiting          map[uint64]*attempt
	wake             chan struct{} // one place: something has changed for the driver
	overloadReported bool          // that it toppled
	earlierFigures   node.Figures  // of earlier lives
}

// attempt is a request that the node has accepted.
type attempt struct {
	id   string
	done chan node.Completion // one place
}

// Start starts a backend with its node's first life.
func Start(ctx context.Context, cfg Config, spec node.Spec, seed uint64) (*Backend, error) {
	if err := spec.Check(); err != nil {
		return nil, err
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = defaultMaxConns
	}
	ctx, stop := context.WithCancel(ctx)
	b := &Backend{cfg: cfg, stop: stop, conns: map[*conn]struct{}{}, waiting: map[uint64]*attempt{}, wake: make(chan struct{}, 1)}
	if err := b.startIncarnation(spec, seed); err != nil {
		stop()
		return nil, err
	}
	b.goroutines.Go(func() { b.drive(ctx) })
	return b, nil
}

// startIncarnation begins a life.
func (b *Backend) startIncarnation(spec node.Spec, seed uint64) error {
	l, err := b.cfg.Listen()
	if err != nil {
		return fmt.Errorf("node %s: %w", spec.ID, err)
	}
	n := node.New(spec, seed)
	n.Advance(b.now())
	b.mu.Lock()
	b.node, b.listener, b.overloadReported = n, l, false
	b.mu.Unlock()
	b.goroutines.Go(func() { b.accept(l) })
	return nil
}

// Restart begins another life after Kill. Troubles of the earlier one do not carry over.
func (b *Backend) Restart(spec node.Spec, seed uint64) error {
	if err := b.startIncarnation(spec, seed); err != nil {
		return err
	}
	b.wakeDriver()
	return nil
}

// Kill is the sudden death of the process: its connections are reset and new ones refused.
func (b *Backend) Kill() {
	b.mu.Lock()
	if b.listener == nil {
		b.mu.Unlock()
		return
	}
	l := b.listener
	b.listener = nil
	b.earlierFigures = b.earlierFigures.Add(b.node.Figures())
	conns := make([]*conn, 0, len(b.conns))
	for c := range b.conns {
		conns = append(conns, c)
	}
	b.waiting = map[uint64]*attempt{}
	b.mu.Unlock()
	l.Close()
	for _, c := range conns {
		c.reset()
	}
}

// Close ends the backend and waits for all that it does.
func (b *Backend) Close() {
	b.Kill()
	b.stop()
	b.goroutines.Wait()
}

// Addr is where the node listens; empty while it is down.
func (b *Backend) Addr() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil {
		return ""
	}
	return b.listener.Addr().String()
}

// State is what a node is at present, for reports and for those who may see everything.
type State struct {
	ID              string
	Up              bool
	InFlight        int
	Conns           int
	Capacity        float64 // work a second
	FailureFraction float64 // share of what is sent that comes to nothing
	Backlog         time.Duration
	Cores           int
	HasCapacity     bool // another request would find a place
	Degraded        bool
	Overloaded      bool
	Figures         node.Figures // of all its lives
}

// State returns what the node is at present.
func (b *Backend) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := State{ID: b.node.ID, Up: b.listener != nil, Figures: b.earlierFigures}
	if s.Up {
		s.InFlight, s.Conns, s.Capacity = b.node.InFlight(), b.node.Conns(), b.node.Capacity()
		s.Degraded, s.Overloaded, s.FailureFraction = b.node.Degraded(), b.node.Overloaded(), b.node.FailureFraction()
		s.Backlog, s.Cores, s.HasCapacity = b.node.Backlog(), b.node.Cores, b.node.HasCapacity()
		s.Figures = s.Figures.Add(b.node.Figures())
	}
	return s
}

// AddFault adds a trouble to the node's present life.
func (b *Backend) AddFault(t node.Fault) {
	b.mu.Lock()
	b.node.AddFault(t)
	b.mu.Unlock()
	b.wakeDriver()
}

func (b *Backend) now() time.Duration { return max(1, time.Since(b.cfg.Epoch)) }

func (b *Backend) wakeDriver() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// drive lets the model's time pass and hands out what ends.
func (b *Backend) drive(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-b.wake:
		}
		if span := time.Since(swept); span >= idleSweepInterval {
			swept = time.Now()
			b.closeIdleConns(span)
		}
		b.mu.Lock()
		events := b.advance()
		next := b.node.NextEvent()
		toppled := b.node.OverloadWasAvoidable() && !b.overloadReported // else nobody could know that it is cold
		b.overloadReported = b.overloadReported || toppled
		id := b.node.ID
		b.mu.Unlock()
		events()
		if toppled && b.cfg.Observer != nil {
			b.cfg.Observer.SlowStartOverloaded(id, b.now())
		}
		timer.Reset(max(0, next-b.now()))
	}
}

// advance lets time pass and hands out what ended. What it returns tells the watcher, and is called without the lock.
func (b *Backend) advance() (tell func()) {
	now := b.now()
	done := b.node.Advance(now)
	began := b.node.TakeStarted()
	id := b.node.ID
	var started []string
	for _, t := range began {
		if a := b.waiting[t]; a != nil {
			started = append(started, a.id)
		}
	}
	for _, d := range done {
		if a := b.waiting[d.Ticket]; a != nil {
			delete(b.waiting, d.Ticket)
			a.done <- d
		}
	}
	return func() {
		if b.cfg.Observer != nil {
			for _, s := range started {
				b.cfg.Observer.ExecutionStarted(s, id, now)
			}
		}
	}
}

// closeIdleConns closes idle connections: after the limit, and as a trouble has it.
func (b *Backend) closeIdleConns(span time.Duration) {
	now := time.Now()
	var old []*conn
	b.mu.Lock()
	for c := range b.conns {
		if since := c.idleSince; !since.IsZero() &&
			(b.cfg.IdleTimeout > 0 && now.Sub(since) >= b.cfg.IdleTimeout || now.Sub(since) > 0 && b.node.CloseIdle(min(span, now.Sub(since)))) {
			old = append(old, c)
		}
	}
	b.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

func (b *Backend) accept(l net.Listener) {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of descriptors, say
			continue
		}
		c := &conn{Conn: raw, backend: b, idleSince: time.Now()}
		b.mu.Lock()
		welcome := node.ConnRefused
		if b.listener == l && len(b.conns) < b.cfg.MaxConns {
			welcome = b.node.Connect(b.now())
		}
		if welcome != node.ConnRefused {
			c.node, c.tableFull = b.node, welcome == node.ConnTableFull
			b.conns[c] = struct{}{}
		}
		b.mu.Unlock()
		if welcome == node.ConnRefused {
			c.reset()
			continue
		}
		b.goroutines.Go(c.serve)
	}
}

// conn is a connection from an agent.
type conn struct {
	net.Conn
	backend   *Backend
	node      *node.Node // the life that took it
	tableFull bool       // the node holds as many as it can: what comes on this one is turned away
	idleSince time.Time  // zero while a request is open; the backend's lock guards it
}

// reset breaks the connection.
func (c *conn) reset() {
	switch raw := c.Conn.(type) {
	case interface{ Reset() }:
		raw.Reset()
	case *net.TCPConn:
		raw.SetLinger(0)
	}
	c.Close()
}

func (c *conn) setIdle(is bool) {
	c.backend.mu.Lock()
	defer c.backend.mu.Unlock()
	c.idleSince = time.Time{}
	if is {
		c.idleSince = time.Now()
	}
}

// request is a request that has come whole.
type request struct {
	*http.Request
	firstByteAt time.Duration // when its first byte came
}

// serve answers one request after the other. While one is open, another goroutine waits for the next, or for the end of
// the connection, which gives the open one up.
func (c *conn) serve() {
	requests, next := make(chan request), make(chan struct{})
	ended := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(ended)
		in := bufio.NewReader(c)
		for {
			if _, err := in.Peek(1); err != nil {
				return
			}
			<-next // at most one request is open
			first := c.backend.now()
			c.setIdle(false)
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxRequestBytes)); err != nil {
				return
			}
			requests <- request{r, first}
		}
	})
	defer func() {
		c.Close()
		for open := true; open; { // let the reader go on to its end
			select {
			case next <- struct{}{}:
			case <-requests:
			case <-ended:
				open = false
			}
		}
		reader.Wait()
		c.backend.mu.Lock()
		defer c.backend.mu.Unlock()
		delete(c.backend.conns, c)
		if c.node == c.backend.node && !c.tableFull {
			c.node.Disconnect(c.backend.now())
		}
	}()
	for {
		c.setIdle(true)
		select {
		case next <- struct{}{}:
		case <-ended:
			return
		}
		select {
		case r := <-requests:
			if !c.handle(r, ended) {
				return
			}
		case <-ended:
			return
		}
	}
}

// parseAttrs reads the figures in X-Attrs.
func parseAttrs(text string) map[string]float64 {
	out := map[string]float64{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if x, err := strconv.ParseFloat(value, 64); ok && err == nil && x >= 0 && x < 1e12 {
			out[name] = x
		}
	}
	return out
}

// readWork reads from a request what it costs and how long its client waits.
func (b *Backend) readWork(r request) (w node.Work, answer int) {
	figures := parseAttrs(r.Header.Get("X-Attrs"))
	w.Key = r.Header.Get("X-Route-Key")
	w.Cost = defaultWork
	if us, err := strconv.ParseFloat(r.Header.Get("X-Cost"), 64); err == nil && us > 0 && us < 1e9 {
		w.Cost = time.Duration(us * 1e3)
	}
	if us, ok := figures[attrWork]; ok {
		w.Cost = time.Duration(us * 1e3)
	}
	text := r.Header.Get("X-Timeout")
	if n := len(text); n > 1 {
		if x, err := strconv.ParseFloat(text[:n-1], 64); err == nil && x > 0 {
			unit := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[text[n-1]]
			w.Deadline = r.firstByteAt + time.Duration(x*float64(unit))
		}
	}
	return w, int(min(maxResponseBytes, figures[attrAnswer]))
}

// handle answers a request; false ends the connection.
func (c *conn) handle(r request, ended <-chan struct{}) bool {
	b := c.backend
	if r.URL.Path == "/health" || r.URL.Path == "/status/load" {
		return c.answerHealthCheck(r)
	}
	id := r.Header.Get("X-Request-ID")
	if id == "" {
		return c.respond(http.StatusNotFound, "", "no id\n")
	}
	if b.cfg.RejectUnknown && b.cfg.Observer != nil && !b.cfg.Observer.KnownRequest(id) {
		return c.respond(http.StatusBadRequest, "", "nobody sent this id\n")
	}
	if b.cfg.Observer != nil {
		b.cfg.Observer.RequestArrived(id, c.node.ID, r.firstByteAt)
	}
	if c.tableFull {
		c.respond(http.StatusServiceUnavailable, "X-Not-Processed: 1\r\nConnection: close\r\n", "")
		return false
	}
	w, size := b.readWork(r)
	w.Unnotified = b.cfg.Unnotified != nil && b.cfg.Unnotified(id, c.node.ID, c.node.Started) // c.node's ID and start do not change
	a := &attempt{id: id, done: make(chan node.Completion, 1)}
	b.mu.Lock()
	if c.node != b.node || b.listener == nil {
		b.mu.Unlock()
		return false
	}
	b.lastTicket++
	w.Ticket = b.lastTicket
	b.waiting[w.Ticket] = a
	verdict, ran := b.node.Offer(b.now(), w)
	if verdict != node.Accepted {
		delete(b.waiting, w.Ticket)
	}
	tell := b.advance()
	b.mu.Unlock()
	b.wakeDriver()
	tell()
	if ran && b.cfg.Observer != nil {
		b.cfg.Observer.ExecutionStarted(id, c.node.ID, b.now())
	}
	switch verdict {
	case node.Rejected:
		return c.respond(http.StatusServiceUnavailable, "X-Not-Processed: 1\r\n"+c.loadHeader(), "")
	case node.FailedFast:
		return c.respond(http.StatusInternalServerError, c.loadHeader(), "an error\n")
	case node.ConnReset:
		c.reset()
		return false
	case node.NoResponse:
		<-ended
		return false
	}
	select {
	case d := <-a.done:
		return c.respondCompleted(id, w.Ticket, size, d, ended)
	case <-ended:
		b.mu.Lock()
		if c.node == b.node {
			b.node.Cancel(b.now(), w.Ticket)
		}
		delete(b.waiting, w.Ticket)
		b.mu.Unlock()
		b.wakeDriver()
		return false
	}
}

// respondCompleted gives the answer of work that has ended.
func (c *conn) respondCompleted(id string, ticket uint64, size int, d node.Completion, ended <-chan struct{}) bool {
	b := c.backend
	if wait := d.At - b.now(); wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ended:
			return false
		}
	}
	b.mu.Lock()
	silent := c.node.Unresponsive()
	b.mu.Unlock()
	switch {
	case silent:
		<-ended
		return false
	case d.Expired:
		return c.respond(http.StatusGatewayTimeout, "X-Not-Processed: 1\r\n"+c.loadHeader(), "")
	case !d.OK:
		return c.respond(http.StatusInternalServerError, c.loadHeader(), "an error\n")
	case d.Form == node.Malformed:
		_, err := io.WriteString(c, "HTTP/1.1 2\x00\x01 spoilt\r\nContent-Len")
		return err == nil
	case d.Form == node.Oversized:
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"+strings.Repeat("x", 4096))
		return err == nil
	}
	text := responseBody(id, c.node.ID, ticket, size)
	if b.cfg.Observer != nil {
		sum := NewBodyHash()
		io.WriteString(sum, text)
		b.cfg.Observer.ResponseProduced(id, sum.Sum64())
	}
	return c.respond(http.StatusOK, c.loadHeader(), text)
}

// responseBody is what a node makes for a request: no two are alike.
func responseBody(id, node string, ticket uint64, size int) string {
	head := fmt.Sprintf("request %s served by %s as its number %d\n", id, node, ticket)
	if size <= len(head) {
		return head
	}
	line := "this line fills the answer up to its size, as menus and receipts do\n"
	return head + strings.Repeat(line, (size-len(head))/len(line)+1)[:size-len(head)]
}

// NewBodyHash sums up an answer's body, for callers and nodes to compare.
func NewBodyHash() hash.Hash64 { return fnv.New64a() }

// loadHeader is the header with the load, where answers bring it.
func (c *conn) loadHeader() string {
	if c.backend.cfg.LoadReportMode != "piggyback" {
		return ""
	}
	c.backend.mu.Lock()
	defer c.backend.mu.Unlock()
	text, ok := c.loadText()
	if !ok {
		return ""
	}
	return "X-Server-Load: " + text + "\r\n"
}

// loadText is a report's text. The lock is held.
func (c *conn) loadText() (string, bool) {
	l, ok := c.node.Load()
	if !ok {
		return "", false
	}
	values := map[string]float64{"qps": l.Rate, "util": l.Utilization, "inflight": float64(c.node.InFlight()), "eps": 0,
		"queue": float64(c.node.Waiting()), "latency_ms": 0}
	var parts []string
	for _, f := range c.backend.cfg.LoadReportFields {
		parts = append(parts, f+"="+strconv.FormatFloat(values[f], 'g', 4, 64))
	}
	return strings.Join(parts, ","), true
}

// answerHealthCheck answers a probe.
func (c *conn) answerHealthCheck(r request) bool {
	b := c.backend
	if b.cfg.LoadReportMode == "silent" {
		return c.respond(http.StatusNotFound, "", "")
	}
	b.mu.Lock()
	silent := c.node.Unresponsive()
	ok := c.node.HealthCheck(b.now())
	text, _ := c.loadText()
	b.mu.Unlock()
	switch {
	case silent:
		return true // no answer, now or ever
	case !ok:
		return c.respond(http.StatusServiceUnavailable, "", "")
	case r.URL.Path == "/health":
		text = "ok"
	}
	return c.respond(http.StatusOK, "", text+"\n")
}

// writeTimeout is for an answer that nobody reads.
const writeTimeout = 10 * time.Second

// respond writes an answer; false ends the connection.
func (c *conn) respond(status int, headers, body string) bool {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), headers, len(body))
	_, err := io.WriteString(c, text+body)
	return err == nil
}
