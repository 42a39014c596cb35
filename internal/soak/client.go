package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// effect is what a repeat of a class's requests does, in the settings' words.
type effect string

const (
	idempotent        effect = "repeatable"
	idempotentWithKey effect = "by_key"
	nonIdempotent     effect = "once"
)

// class is a class of requests of a soak.
type class struct {
	name             string
	effect           effect
	latencyObjective time.Duration
	deadline         time.Duration
	window           time.Duration
}

// clientBehavior is how a client behaves with one request.
type clientBehavior string

const (
	wellBehaved         clientBehavior = "patient"
	closesEarly         clientBehavior = "leaves"     // closes its connection before the answer
	resets              clientBehavior = "resets"     // resets it
	halfCloses          clientBehavior = "halfcloses" // closes its side for writing
	leavesTrailingBytes clientBehavior = "leavesbehind"
	slowWriter          clientBehavior = "slowwriter" // takes its time with the body
	timeoutEdgeWriter   clientBehavior = "edgewriter" // the last byte of the body comes just before the limit
	stopsMidway         clientBehavior = "stopsmid"   // stops in the middle and stays
	longBody            clientBehavior = "longbody"
	closesInLongBody    clientBehavior = "longleaves" // leaves within a long body
	shortTimeout        clientBehavior = "hurried"    // has little time
	malformed           clientBehavior = "malformed"
	newConnection       clientBehavior = "fresh"    // on a connection of its own
	idleLimitEdge       clientBehavior = "edgeidle" // on a connection that has rested for about as long as the agent lets it
)

// Request is one request as its client saw it.
type Request struct {
	ID          string
	Agent       int
	Incarnation int // process of the agent when it was sent
	Class       string
	Behavior    clientBehavior
	Timeout     time.Duration

	LocalAddr       string        // the client's end of the connection
	ConnectionUses  int           // requests on the connection before this one
	SentAt          time.Duration // its last byte was written; 0: never
	ClosedAt        time.Duration // the client closed; 0: it stayed
	AnswerStartedAt time.Duration // the head of its answer had come; 0: never
	EndedAt         time.Duration // its answer was complete, or the connection ended
	Status          int           // 0: no answer
	Body            string        // of an answer, its first line
	Complete        bool          // the answer came completely
	BodyBytes       int           // of an answer that came
	Err             string
	Resent          bool          // it was sent once more after the connection closed unread
	StoppedAt       time.Duration // when a client that stops in the middle stopped
	ConnectErr      bool          // no connection could be had
}

// clients send requests to one agent.
type clients struct {
	agent   *agent
	plan    *Plan
	rate    float64
	classes []class

	mu            sync.Mutex
	rng           *rand.Rand
	idle          []*clientConn
	requests      []*Request
	serial        int
	burstBehavior clientBehavior // of most requests during a ClientBurst; empty otherwise
	calls         sync.WaitGroup
}

type clientConn struct {
	net.Conn
	in           *bufio.Reader
	uses         int
	incarnation  int
	lastAnswerAt time.Time // when its latest answer had come
}

// clientIdleLimit is how long the agent lets a connection be idle between requests.
const clientIdleLimit = 2100 * time.Millisecond

// run sends requests at random times until the context ends, and waits for the answers.
func (c *clients) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		pause := time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))
		c.mu.Unlock()
		select {
		case <-time.After(pause):
			c.calls.Go(c.call)
		case <-ctx.Done():
		}
	}
	c.calls.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
}

// draw makes up the next request.
func (c *clients) draw() (*Request, class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	drawnClass := c.classes[c.rng.IntN(len(c.classes))]
	request := &Request{ID: fmt.Sprintf("%08x%02x%06x", uint32(c.plan.Seed), c.agent.number, c.serial), Agent: c.agent.number, Class: drawnClass.name,
		Timeout: drawnClass.deadline, Behavior: wellBehaved}
	remaining := c.rng.Float64()
	for _, h := range c.plan.behaviors {
		if remaining -= h.fraction; remaining < 0 {
			request.Behavior = h.behavior
			break
		}
	}
	if c.burstBehavior != "" && c.rng.Float64() < 0.6 {
		request.Behavior = c.burstBehavior
	}
	if drawnClass.effect == idempotent && (request.Behavior == slowWriter || request.Behavior == timeoutEdgeWriter || request.Behavior == stopsMidway || request.Behavior == longBody || request.Behavior == closesInLongBody) {
		request.Behavior = wellBehaved // it has no body
	}
	if request.Behavior == shortTimeout {
		request.Timeout = time.Duration(1+c.rng.IntN(120)) * time.Millisecond
	}
	c.requests = append(c.requests, request)
	return request, drawnClass
}

func (c *clients) randomDuration(least, most time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return least + time.Duration(c.rng.Float64()*float64(most-least))
}

// connection is an idle one or a new one.
func (c *clients) connection(forceNew bool) (*clientConn, error) {
	c.agent.mu.Lock()
	incarnation := c.agent.current().number
	c.agent.mu.Unlock()
	c.mu.Lock()
	for !forceNew && len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if conn.incarnation == incarnation {
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
	return &clientConn{Conn: raw, in: bufio.NewReader(raw), incarnation: incarnation}, nil
}

// call sends one request and waits for its answer. One whose connection closes unread is sent once more, on a new connection.
func (c *clients) call() {
	request, requestClass := c.draw()
	forceNew := request.Behavior == newConnection || request.Behavior == malformed || request.Behavior == leavesTrailingBytes
	for {
		conn, err := c.connection(forceNew)
		if err != nil {
			request.ConnectErr, request.Err, request.EndedAt = true, err.Error(), monotonic()
			return
		}
		if request.Behavior == idleLimitEdge && conn.uses > 0 {
			time.Sleep(time.Until(conn.lastAnswerAt.Add(clientIdleLimit + c.randomDuration(-5*time.Millisecond, 5*time.Millisecond))))
		}
		request.Incarnation, request.ConnectionUses, request.LocalAddr = conn.incarnation, conn.uses, conn.LocalAddr().String()
		c.exchange(conn, request, requestClass)
		if unread := request.Status == 0 && request.BodyBytes == 0 && request.ClosedAt == 0 && request.ConnectionUses > 0 && request.StoppedAt == 0; !unread || request.Resent || request.Err == noAnswerInTime {
			return
		}
		*request = Request{ID: request.ID, Agent: request.Agent, Class: request.Class, Behavior: request.Behavior, Timeout: request.Timeout, Resent: true}
		forceNew = true
	}
}

// holdIdleConnections opens n connections, sends nothing on them, and closes them after a duration.
func (c *clients) holdIdleConnections(ctx context.Context, n int, duration time.Duration) {
	var open []net.Conn
	for range n {
		if conn, err := net.DialTimeout("tcp", c.agent.listen, time.Second); err == nil {
			open = append(open, conn)
		}
	}
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
	for _, conn := range open {
		conn.Close()
	}
}
