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
	"strconv"
	"strings"
	"sync"
	"time"

	"ryeweir/internal/httpmsg"
)

// Attempt is one request as a backend saw it. Times are of the machine's monotonic clock.
type Attempt struct {
	Request       string        `json:"request"`
	Backend       string        `json:"backend"`
	Instance      int           `json:"instance"` // which process of the backend
	Peer          string        `json:"peer"`     // the far end of the connection
	Class         string        `json:"class"`
	FirstByteAt   time.Duration `json:"first"`  // its first byte came
	CompleteAt    time.Duration `json:"whole"`  // its last byte came; 0: never
	StatedTimeout time.Duration `json:"stated"` // X-Timeout; below 0 where it was not readable
	Processed     bool          `json:"processed"`
	Answer        string        `json:"answer"` // the body that it would be served with
	Mode          Mode          `json:"did"`    // how it was answered
}

// Mode is a way of a backend to misbehave. The empty one is to behave.
type Mode string

// The modes.
const (
	Hang         Mode = "hang"         // no answer for some seconds
	Reject       Mode = "turnaway"     // 503 that says it was not processed
	ServerError  Mode = "error"        // 500
	ResetBefore  Mode = "reset"        // the connection is reset once the request is there
	ResetWithin  Mode = "resetwithin"  // the connection is reset within the answer
	Noise        Mode = "noise"        // what comes is no answer
	NeverEnds    Mode = "neverends"    // the answer stops half way and the connection stays open
	SecondAnswer Mode = "second"       // a second answer comes some milliseconds late
	NoLength     Mode = "nolength"     // the answer ends with the connection
	Chunked      Mode = "chunked"      // the answer comes in chunks, slowly
	LongAnswer   Mode = "long"         // the answer is far over what is held
	ClosesAfter  Mode = "closes"       // the connection closes after the answer, unannounced
	Sleepy       Mode = "sleepy"       // the answer takes most of the time allowed
	Interim      Mode = "interim"      // interim answers come before
	SplitAnswer  Mode = "split"        // the answer comes in small pieces
	EarlyAnswer  Mode = "early"        // an error comes before the request is whole
	RejectLate   Mode = "refuselong"   // 503 that says it was not processed, a while later
	Unannounced  Mode = "crossingidle" // idle connections close after some milliseconds
	HeadOfLong   Mode = "headoflong"   // the head of a long answer, and a reset before any of its body
	HeadOfChunks Mode = "headofchunks" // the head of an answer in chunks, and a reset some time later
)

// backendModes are those that a plan draws from.
var backendModes = []Mode{Hang, Reject, ServerError, ResetBefore, ResetWithin, Noise, NeverEnds, SecondAnswer, NoLength, Chunked,
	LongAnswer, ClosesAfter, Sleepy, Interim, SplitAnswer, EarlyAnswer, RejectLate, Unannounced, HeadOfLong, HeadOfChunks}

// longAnswer is the size of a LongAnswer, in bytes.
const longAnswer = 300 << 10

// backend is the process of a backend.
type backend struct {
	id       string
	instance int
	out      *json.Encoder
	outLock  sync.Mutex

	mu     sync.Mutex
	rng    *rand.Rand
	modes  map[Mode]float64 // probability of each
	open   map[net.Conn]bool
	serial int
}

// RunBackend serves requests on a listener and writes an Attempt for each to out, until the commands end. Commands are lines:
// "mode NAME PROBABILITY" and "resetall".
func RunBackend(ctx context.Context, l net.Listener, id string, instance int, seed uint64, commands io.Reader, out io.Writer) error {
	b := &backend{id: id, instance: instance, out: json.NewEncoder(out), rng: rand.New(rand.NewPCG(seed, uint64(instance))),
		modes: map[Mode]float64{}, open: map[net.Conn]bool{}}
	go func() {
		lines := bufio.NewScanner(commands)
		for lines.Scan() {
			b.command(strings.Fields(lines.Text()))
		}
		l.Close()
	}()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			return nil // the commands have ended
		}
		go b.serve(c.(*net.TCPConn))
	}
}

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

// draw is how the next request is answered.
func (b *backend) draw() Mode {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, mode := range backendModes {
		if p := b.modes[mode]; p > 0 && b.rng.Float64() < p {
			return mode
		}
	}
	return ""
}

func (b *backend) between(least, most time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return least + time.Duration(b.rng.Float64()*float64(most-least))
}

func (b *backend) report(a Attempt) {
	b.outLock.Lock()
	defer b.outLock.Unlock()
	b.out.Encode(a) // fails only where the soak has ended
}

// idleLimit is how long a connection may stand idle, as the agents' settings say.
const idleLimit = 4 * time.Second

func (b *backend) serve(c *net.TCPConn) {
	b.mu.Lock()
	b.open[c] = true
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.open, c)
		b.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		limit := idleLimit
		b.mu.Lock()
		if b.modes[Unannounced] > 0 {
			limit = 20 * time.Millisecond
		}
		b.mu.Unlock()
		c.SetReadDeadline(time.Now().Add(limit))
		if _, err := in.Peek(1); err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		a := Attempt{Backend: b.id, Instance: b.instance, Peer: c.RemoteAddr().String(), FirstByteAt: monotonic()}
		if !b.exchange(c, in, a) {
			return
		}
	}
}

// exchange reads a request and answers it; false says that the connection is to close.
func (b *backend) exchange(c *net.TCPConn, in *bufio.Reader, a Attempt) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		b.report(a)
		return false
	}
	a.Request, a.Class = r.Header.Get("X-Request-Id"), strings.Trim(r.URL.Path, "/")
	a.StatedTimeout = statedTimeout(r.Header.Get(httpmsg.TimeoutHeader))
	mode := b.draw()
	if mode == EarlyAnswer && r.ContentLength > httpmsg.MaxBufferedBytes {
		a.Mode = mode
		b.report(a)
		io.WriteString(c, "HTTP/1.1 500 Early\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		c.CloseWrite()
		c.SetReadDeadline(time.Now().Add(time.Second))
		io.Copy(io.Discard, in)
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		b.report(a)
		return false
	}
	a.CompleteAt, a.Mode = monotonic(), mode
	b.mu.Lock()
	b.serial++
	a.Answer = fmt.Sprintf("%s by %s.%d no %d", a.Request, b.id, b.instance, b.serial)
	b.mu.Unlock()
	a.Processed = mode != Reject && mode != RejectLate
	b.report(a) // before the answer: a client must not have one that nobody knows of
	return b.answer(c, a, mode)
}

func statedTimeout(text string) time.Duration {
	n, err := strconv.ParseInt(strings.TrimSuffix(text, "u"), 10, 64)
	if err != nil {
		return -1
	}
	return time.Duration(n) * time.Microsecond
}

const turnedAway = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"

// answer answers a request in its way; false says that the connection is to close.
func (b *backend) answer(c *net.TCPConn, a Attempt, mode Mode) bool {
	if mode != Reject {
		time.Sleep(b.between(2*time.Millisecond, 25*time.Millisecond))
	}
	plain := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(a.Answer), a.Answer)
	say := func(parts ...string) bool {
		for _, part := range parts {
			if _, err := io.WriteString(c, part); err != nil {
				return false
			}
		}
		return true
	}
	reset := func() bool {
		c.SetLinger(0)
		return false
	}
	switch mode {
	case Hang:
		time.Sleep(b.between(time.Second, 8*time.Second))
		return say(plain)
	case Reject:
		return say(turnedAway)
	case RejectLate:
		time.Sleep(b.between(50*time.Millisecond, 400*time.Millisecond))
		return say(turnedAway)
	case ServerError:
		return say("HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops")
	case ResetBefore:
		return reset()
	case ResetWithin:
		say(plain[:len(plain)-len(a.Answer)/2])
		time.Sleep(b.between(0, 30*time.Millisecond))
		return reset()
	case Noise:
		say("\x16\x03\x01\x00 this is no answer")
		time.Sleep(b.between(0, 6*time.Second)) // it stays open and is of no use
		return false
	case NeverEnds:
		say(plain[:len(plain)-len(a.Answer)/2])
		time.Sleep(b.between(time.Second, 8*time.Second))
		return false
	case SecondAnswer:
		say(plain)
		time.Sleep(b.between(0, 8*time.Millisecond))
		return say(strings.Replace(plain, a.Request, strings.Repeat("x", len(a.Request)), 1))
	case NoLength:
		say("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", a.Answer)
		return false
	case Chunked:
		say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, part := range []string{a.Answer[:5], a.Answer[5:]} {
			time.Sleep(b.between(0, 120*time.Millisecond))
			say(strconv.FormatInt(int64(len(part)), 16), "\r\n", part, "\r\n")
		}
		return say("0\r\n\r\n")
	case LongAnswer:
		padding := strings.Repeat(".", longAnswer)
		return say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(a.Answer)+len(padding)), a.Answer, padding)
	case ClosesAfter:
		say(plain)
		return false
	case Sleepy:
		time.Sleep(min(b.between(a.StatedTimeout/2, a.StatedTimeout), 2*time.Second))
		return say(plain)
	case HeadOfLong:
		say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longAnswer))
		time.Sleep(b.between(0, 20*time.Millisecond))
		return reset()
	case HeadOfChunks:
		say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		time.Sleep(b.between(50*time.Millisecond, 200*time.Millisecond))
		return reset()
	case Interim:
		return say("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n", plain)
	case SplitAnswer:
		for len(plain) > 0 {
			n := min(len(plain), 1+int(b.between(0, 30)))
			if !say(plain[:n]) {
				return false
			}
			plain = plain[n:]
			time.Sleep(b.between(0, 4*time.Millisecond))
		}
		return true
	}
	return say(plain)
}
