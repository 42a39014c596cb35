package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// effect is what a repeat of a class's requests does, in the settings' words.
type effect string

const (
	repeatable effect = "repeatable"
	byKey      effect = "by_key"
	once       effect = "once"
)

// class is a class of requests of a soak.
type class struct {
	name     string
	effect   effect
	aim      time.Duration
	deadline time.Duration
	window   time.Duration
}

// habit is how a client behaves with one request.
type habit string

const (
	patient      habit = "patient"
	leaves       habit = "leaves"     // closes its connection before the answer
	resets       habit = "resets"     // resets it
	halfCloses   habit = "halfcloses" // closes its side for writing
	leavesBehind habit = "leavesbehind"
	slowWriter   habit = "slowwriter" // takes its time with the body
	edgeWriter   habit = "edgewriter" // the last byte of the body comes just before the limit
	stopsMid     habit = "stopsmid"   // stops in the middle and stays
	longBody     habit = "longbody"
	longLeaves   habit = "longleaves" // leaves within a long body
	hurried      habit = "hurried"    // has little time
	malformed    habit = "malformed"
	fresh        habit = "fresh"    // on a connection of its own
	edgeIdle     habit = "edgeidle" // on a connection that has rested for about as long as the agent lets it
)

// Request is one request as its client saw it.
type Request struct {
	ID          string
	Agent       int
	Incarnation int // process of the agent when it was sent
	Class       string
	Behavior    habit
	Timeout     time.Duration

	LocalAddr       string        // the client's end of the connection
	ConnectionUses  int           // requests on the connection before this one
	SentAt          time.Duration // its last byte was written; 0: never
	ClosedAt        time.Duration // the client closed; 0: it stayed
	AnswerStartedAt time.Duration // the head of its answer had come; 0: never
	EndedAt         time.Duration // its answer had come whole, or the connection ended
	Status          int           // 0: no answer
	Body            string        // of an answer, its first line
	Complete        bool          // the answer came whole
	BodyBytes       int           // of an answer that came
	Err             string
	Resent          bool          // it was sent once more after the connection closed unread
	StoppedAt       time.Duration // when a client that stops in the middle stopped
	ConnectErr      bool          // no connection could be had
}

// callers send requests to one agent.
type callers struct {
	agent   *agent
	plan    *Plan
	rate    float64
	classes []class

	mu       sync.Mutex
	rng      *rand.Rand
	idle     []*clientConn
	requests []*Request
	serial   int
	burst    habit // of most requests, while a plan says so
	all      sync.WaitGroup
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used int
	life int
	last time.Time // when its latest answer had come
}

// clientRest is how long the agent lets a connection rest between requests.
const clientRest = 2100 * time.Millisecond

// run sends requests at random times until the context ends, and waits for the answers.
func (c *callers) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		pause := time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))
		c.mu.Unlock()
		select {
		case <-time.After(pause):
			c.all.Go(c.call)
		case <-ctx.Done():
		}
	}
	c.all.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
}

// draw makes up the next request.
func (c *callers) draw() (*Request, class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	cl := c.classes[c.rng.IntN(len(c.classes))]
	r := &Request{ID: fmt.Sprintf("%08x%02x%06x", uint32(c.plan.Seed), c.agent.number, c.serial), Agent: c.agent.number, Class: cl.name,
		Timeout: cl.deadline, Behavior: patient}
	x := c.rng.Float64()
	for _, h := range c.plan.habits {
		if x -= h.share; x < 0 {
			r.Behavior = h.habit
			break
		}
	}
	if c.burst != "" && c.rng.Float64() < 0.6 {
		r.Behavior = c.burst
	}
	if cl.effect == repeatable && (r.Behavior == slowWriter || r.Behavior == edgeWriter || r.Behavior == stopsMid || r.Behavior == longBody || r.Behavior == longLeaves) {
		r.Behavior = patient // it has no body
	}
	if r.Behavior == hurried {
		r.Timeout = time.Duration(1+c.rng.IntN(120)) * time.Millisecond
	}
	c.requests = append(c.requests, r)
	return r, cl
}

func (c *callers) between(least, most time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return least + time.Duration(c.rng.Float64()*float64(most-least))
}

// connection is an idle one or a new one.
func (c *callers) connection(anew bool) (*clientConn, error) {
	c.agent.mu.Lock()
	life := c.agent.life().number
	c.agent.mu.Unlock()
	c.mu.Lock()
	for !anew && len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if conn.life == life {
			c.mu.Unlock()
			return conn, nil
		}
		conn.Close()
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", c.agent.listen, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: raw, in: bufio.NewReader(raw), life: life}, nil
}

// call sends one request and waits for its answer. One whose connection closes unread is sent once more, on a new connection.
func (c *callers) call() {
	r, cl := c.draw()
	anew := r.Behavior == fresh || r.Behavior == malformed || r.Behavior == leavesBehind
	for {
		conn, err := c.connection(anew)
		if err != nil {
			r.ConnectErr, r.Err, r.EndedAt = true, err.Error(), monotonic()
			return
		}
		if r.Behavior == edgeIdle && conn.used > 0 {
			time.Sleep(time.Until(conn.last.Add(clientRest + c.between(-5*time.Millisecond, 5*time.Millisecond))))
		}
		r.Incarnation, r.ConnectionUses, r.LocalAddr = conn.life, conn.used, conn.LocalAddr().String()
		c.exchange(conn, r, cl)
		if unread := r.Status == 0 && r.BodyBytes == 0 && r.ClosedAt == 0 && r.ConnectionUses > 0 && r.StoppedAt == 0; !unread || r.Resent || r.Err == lateAnswer {
			return
		}
		*r = Request{ID: r.ID, Agent: r.Agent, Class: r.Class, Behavior: r.Behavior, Timeout: r.Timeout, Resent: true}
		anew = true
	}
}

// lateAnswer is the error of a request that no answer came for.
const lateAnswer = "no answer in time"

// overtime is for how long past its time a request's answer is waited for.
const overtime = 1500 * time.Millisecond

// text is the head of a request and its body.
func (c *callers) text(r *Request, cl class) (head, body string) {
	method := "POST"
	if cl.effect == repeatable {
		method = "GET"
	}
	size := 40
	if r.Behavior == longBody || r.Behavior == longLeaves {
		size = 70<<10 + int(c.between(0, 150<<10))
	}
	head = fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: soak\r\nX-Request-ID: %s\r\nX-Timeout: %dm\r\n", method, cl.name, r.ID, r.Timeout.Milliseconds())
	if cl.effect == byKey {
		head += "Idempotency-Key: key-" + r.ID + "\r\n"
	}
	if r.Behavior == malformed {
		head += "X-Timeout: soon\r\n"
	}
	if method == "POST" {
		body = strings.Repeat("b", size)
		head += fmt.Sprintf("Content-Length: %d\r\n", size)
	}
	return head + "\r\n", body
}

// exchange sends a request on a connection and takes its answer.
func (c *callers) exchange(conn *clientConn, r *Request, cl class) {
	head, body := c.text(r, cl)
	keep := false
	defer func() {
		if r.EndedAt == 0 {
			r.EndedAt = monotonic()
		}
		if !keep {
			conn.Close()
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle = append(c.idle, conn)
	}()
	conn.SetDeadline(time.Now().Add(r.Timeout + 8*time.Second))
	if !c.send(conn, r, head, body) {
		return
	}
	stop := c.leave(conn, r)
	if r.SentAt > 0 {
		conn.SetReadDeadline(time.Now().Add(r.Timeout + overtime))
	} else {
		conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	}
	resp, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		stop()
		r.fail(err)
		return
	}
	r.AnswerStartedAt = monotonic()
	text, err := io.ReadAll(resp.Body)
	stop()
	r.BodyBytes = 1 + len(text)
	r.Status, r.EndedAt = resp.StatusCode, monotonic()
	r.Body, _, _ = strings.Cut(string(text), ".....")
	if err != nil {
		r.fail(err)
		return
	}
	r.Complete = true
	conn.used++
	conn.last = time.Now()
	keep = !resp.Close && r.ClosedAt == 0 && r.StoppedAt == 0 && r.Behavior != leavesBehind
	conn.SetDeadline(time.Time{})
}

func (r *Request) fail(err error) {
	r.Err, r.EndedAt = err.Error(), monotonic()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		r.Err = lateAnswer
	}
}

// send writes a request as its client's habit is; false says that it ends with that.
func (c *callers) send(conn *clientConn, r *Request, head, body string) bool {
	write := func(parts ...string) bool {
		for _, part := range parts {
			if _, err := io.WriteString(conn, part); err != nil {
				if r.Behavior == longBody || r.Behavior == longLeaves || r.Behavior == slowWriter || r.Behavior == edgeWriter {
					return true // it may have been answered before its end
				}
				r.Err = err.Error()
				return false
			}
		}
		return true
	}
	switch r.Behavior {
	case slowWriter:
		for _, part := range []string{head[:10], head[10:], body[:7], body[7:]} {
			if !write(part) {
				return false
			}
			time.Sleep(c.between(0, 700*time.Millisecond))
		}
	case edgeWriter:
		if !write(head, body[:len(body)-1]) {
			return false
		}
		time.Sleep(2200*time.Millisecond - c.between(-2*time.Millisecond, 6*time.Millisecond))
		if !write(body[len(body)-1:]) {
			return false
		}
	case stopsMid:
		whole := head + body
		if !write(whole[:len(whole)-1-int(c.between(0, 60))]) {
			return false
		}
		r.StoppedAt = monotonic()
		return true
	case longLeaves:
		write(head, body[:len(body)/2])
		time.Sleep(c.between(0, 60*time.Millisecond))
		conn.Close()
		r.ClosedAt = monotonic()
		return false
	case leavesBehind:
		if !write(head+body, "GET /", c.classes[0].name) {
			return false
		}
	default:
		if !write(head + body) {
			return false
		}
	}
	r.SentAt = monotonic()
	return true
}

// leave ends the client's side where that is its habit. The function that it returns keeps it from that.
func (c *callers) leave(conn *clientConn, r *Request) (stop func()) {
	var end func()
	raw := conn.Conn.(*net.TCPConn)
	switch r.Behavior {
	case leaves, leavesBehind:
		end = func() { raw.Close() }
	case resets:
		end = func() { raw.SetLinger(0); raw.Close() }
	case halfCloses:
		end = func() { raw.CloseWrite() }
	default:
		return func() {}
	}
	var mu sync.Mutex
	over := false
	timer := time.AfterFunc(c.between(0, 60*time.Millisecond), func() {
		mu.Lock()
		defer mu.Unlock()
		if !over {
			end()
			r.ClosedAt = monotonic()
		}
	})
	return func() {
		timer.Stop()
		mu.Lock()
		defer mu.Unlock()
		over = true
	}
}

// crowd opens connections that say nothing, and rests on them.
func (c *callers) crowd(ctx context.Context, n int, lasts time.Duration) {
	var open []net.Conn
	for range n {
		if conn, err := net.DialTimeout("tcp", c.agent.listen, time.Second); err == nil {
			open = append(open, conn)
		}
	}
	select {
	case <-time.After(lasts):
	case <-ctx.Done():
	}
	for _, conn := range open {
		conn.Close()
	}
}
