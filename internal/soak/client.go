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

// effect says whether a request of a class may be sent again. The values are those of the settings.
type effect string

const (
	idempotent        effect = "repeatable" // at any time
	idempotentWithKey effect = "by_key"     // within the idempotency window, with an idempotency key
	nonIdempotent     effect = "once"       // never
)

// class is a class of requests.
type class struct {
	name              string
	effect            effect
	latencyObjective  time.Duration // the AimNs of the settings
	deadline          time.Duration // the timeout of a request whose client has no short timeout
	idempotencyWindow time.Duration // within which a request with a key may be sent again
}

// clientBehavior is how a client behaves while it sends one request and waits for the response.
type clientBehavior string

const (
	wellBehaved        clientBehavior = "patient"
	closesEarly        clientBehavior = "leaves"       // closes its connection up to 60 ms after the request
	resets             clientBehavior = "resets"       // resets its connection up to 60 ms after the request
	halfCloses         clientBehavior = "halfcloses"   // closes its sending side up to 60 ms after the request
	sendsTrailingBytes clientBehavior = "leavesbehind" // sends the start of a second request, and closes the connection
	leavesUnread       clientBehavior = "leavesunread" // sends up to 1 MB behind the request, and closes the connection
	slowWriter         clientBehavior = "slowwriter"   // pauses within the request, up to 700 ms at a time
	timeoutEdgeWriter  clientBehavior = "edgewriter"   // sends the last byte of the body just before the agent's limit for the body
	stopsMidway        clientBehavior = "stopsmid"     // stops within the request and leaves the connection open
	longBody           clientBehavior = "longbody"     // sends a body that is longer than an agent buffers
	closesInLongBody   clientBehavior = "longleaves"   // closes its connection within a long body
	shortTimeout       clientBehavior = "hurried"      // states a timeout of 1 to 120 ms
	malformed          clientBehavior = "malformed"    // sends a second X-Timeout, which is unreadable
	newConnection      clientBehavior = "fresh"        // sends on a new connection
	idleLimitEdge      clientBehavior = "edgeidle"     // sends on a connection that has been idle for about clientIdleLimit
)

// Request is what a client recorded of one request. Times are of the machine's monotonic clock.
type Request struct {
	ID          string
	Agent       int
	Incarnation int // process of the agent when the request was sent, from 1
	Class       string
	Behavior    clientBehavior
	Timeout     time.Duration

	LocalAddr         string        // the client's end of the connection
	ConnectionUses    int           // earlier requests on the connection
	SentAt            time.Duration // when its last byte was written; 0: never
	ClosedAt          time.Duration // when the client closed its connection or its sending side; 0: never
	ResponseStartedAt time.Duration // when the head of its response was read; 0: never
	EndedAt           time.Duration // when its response was complete or the connection ended
	Status            int           // of the response; 0: none
	ReceivedBody      string        // body of the response, without the padding of a long one
	Complete          bool          // the response was received completely
	ReceivedBytes     int           // length of the received body plus 1; 0: no response
	LongestGap        time.Duration // the longest time between two pieces of the response
	HTTP10            bool          // it was sent by HTTP/1.0
	Err               string        // why sending or reading failed; empty: it did not
	Resent            bool          // the request was sent once more after its connection closed without a response
	StoppedAt         time.Duration // when a client that stops within the request stopped; 0: never
	ConnectErr        bool          // no connection could be established
}

// clients is the group of clients that send requests to one agent.
type clients struct {
	agent   *agent
	plan    *Plan
	rate    float64 // requests per second
	classes []class

	mu            sync.Mutex
	rng           *rand.Rand
	idle          []*clientConn // the latest used last
	requests      []*Request
	serial        int            // number of the latest request
	burstBehavior clientBehavior // of 60% of the requests during a ClientBurst; empty otherwise
	calls         sync.WaitGroup // the calls in progress
}

// clientConn is a connection of a client to its agent.
type clientConn struct {
	net.Conn
	in             *bufio.Reader
	uses           int       // requests on it with a complete response
	incarnation    int       // the agent process that it leads to, from 1
	lastResponseAt time.Time // when the latest response was complete
}

// clientIdleLimit is how long an agent keeps a client's connection open between requests.
const clientIdleLimit = 2100 * time.Millisecond

// run sends requests with random pauses, rate per second on average, until the context ends. Then it waits for the responses.
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

// drawRequest draws the class, the behavior and the timeout of the next request, and records it.
func (c *clients) drawRequest() (*Request, class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	drawnClass := c.classes[c.rng.IntN(len(c.classes))]
	request := &Request{ID: fmt.Sprintf("%08x%02x%06x", uint32(c.plan.Seed), c.agent.number, c.serial), Agent: c.agent.number, Class: drawnClass.name,
		Timeout: drawnClass.deadline, Behavior: wellBehaved}
	remaining := c.rng.Float64()
	for _, share := range c.plan.behaviors {
		if remaining -= share.fraction; remaining < 0 {
			request.Behavior = share.behavior
			break
		}
	}
	if c.burstBehavior != "" && c.rng.Float64() < 0.6 {
		request.Behavior = c.burstBehavior
	}
	if drawnClass.effect == idempotent && (request.Behavior == slowWriter || request.Behavior == timeoutEdgeWriter || request.Behavior == stopsMidway || request.Behavior == longBody || request.Behavior == closesInLongBody) {
		request.Behavior = wellBehaved // a GET request has no body
	}
	if request.Behavior == shortTimeout {
		request.Timeout = time.Duration(1+c.rng.IntN(120)) * time.Millisecond
	}
	request.HTTP10 = c.rng.Float64() < c.plan.http10Share
	c.requests = append(c.requests, request)
	return request, drawnClass
}

func (c *clients) randomDuration(least, most time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return least + time.Duration(c.rng.Float64()*float64(most-least))
}

// connection returns an idle connection to the agent's current process, or a new one if there is none or forceNew is set.
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

// call sends one request and waits for its response. If a reused connection closes without any response, it sends the request once more on
// a new connection.
func (c *clients) call() {
	request, requestClass := c.drawRequest()
	forceNew := request.Behavior == newConnection || request.Behavior == malformed || request.Behavior == sendsTrailingBytes || request.Behavior == leavesUnread
	for {
		conn, err := c.connection(forceNew)
		if err != nil {
			request.ConnectErr, request.Err, request.EndedAt = true, err.Error(), monotonic()
			return
		}
		if request.Behavior == idleLimitEdge && conn.uses > 0 {
			time.Sleep(time.Until(conn.lastResponseAt.Add(clientIdleLimit + c.randomDuration(-5*time.Millisecond, 5*time.Millisecond))))
		}
		request.Incarnation, request.ConnectionUses, request.LocalAddr = conn.incarnation, conn.uses, conn.LocalAddr().String()
		c.exchange(conn, request, requestClass)
		if closedUnanswered := request.Status == 0 && request.ReceivedBytes == 0 && request.ClosedAt == 0 && request.ConnectionUses > 0 && request.StoppedAt == 0; !closedUnanswered || request.Resent || request.Err == responseTimeout {
			return
		}
		*request = Request{ID: request.ID, Agent: request.Agent, Class: request.Class, Behavior: request.Behavior, Timeout: request.Timeout, HTTP10: request.HTTP10, Resent: true}
		forceNew = true
	}
}

// holdIdleConnections opens n connections, sends nothing on them, and closes them after the duration or when the context ends.
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
