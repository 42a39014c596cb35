package soak

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

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
	EarlyAnswer  Mode = "early"        // an error comes before the request is complete
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

const (
	rejectedAnswer = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	chunkedHead    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// response is an answer under way.
type response struct {
	backend *backend
	conn    *net.TCPConn
	attempt Attempt
	plain   string // the answer of a backend that behaves
}

// responders answer in their mode. Each reports whether the connection stays open.
var responders = map[Mode]func(*response) bool{
	Hang: func(r *response) bool {
		r.sleep(time.Second, 8*time.Second)
		return r.write(r.plain)
	},
	Reject: func(r *response) bool {
		return r.write(rejectedAnswer)
	},
	RejectLate: func(r *response) bool {
		r.sleep(50*time.Millisecond, 400*time.Millisecond)
		return r.write(rejectedAnswer)
	},
	ServerError: func(r *response) bool {
		return r.write("HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops")
	},
	ResetBefore: (*response).reset,
	ResetWithin: func(r *response) bool {
		r.write(r.firstHalf())
		r.sleep(0, 30*time.Millisecond)
		return r.reset()
	},
	Noise: func(r *response) bool {
		r.write("\x16\x03\x01\x00 this is no answer")
		r.sleep(0, 6*time.Second) // the connection stays open and is of no use
		return false
	},
	NeverEnds: func(r *response) bool {
		r.write(r.firstHalf())
		r.sleep(time.Second, 8*time.Second)
		return false
	},
	SecondAnswer: func(r *response) bool {
		r.write(r.plain)
		r.sleep(0, 8*time.Millisecond)
		return r.write(strings.Replace(r.plain, r.attempt.Request, strings.Repeat("x", len(r.attempt.Request)), 1))
	},
	NoLength: func(r *response) bool {
		r.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", r.attempt.Answer)
		return false
	},
	Chunked: (*response).writeChunked,
	LongAnswer: func(r *response) bool {
		padding := strings.Repeat(".", longAnswer)
		return r.write(headOfLength(len(r.attempt.Answer)+len(padding)), r.attempt.Answer, padding)
	},
	ClosesAfter: func(r *response) bool {
		r.write(r.plain)
		return false
	},
	Sleepy: func(r *response) bool {
		stated := r.attempt.StatedTimeout
		time.Sleep(min(r.backend.randomDuration(stated/2, stated), 2*time.Second))
		return r.write(r.plain)
	},
	HeadOfLong: func(r *response) bool {
		r.write(headOfLength(longAnswer))
		r.sleep(0, 20*time.Millisecond)
		return r.reset()
	},
	HeadOfChunks: func(r *response) bool {
		r.write(chunkedHead)
		r.sleep(50*time.Millisecond, 200*time.Millisecond)
		return r.reset()
	},
	Interim: func(r *response) bool {
		return r.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n", r.plain)
	},
	SplitAnswer: (*response).writeSplit,
}

// answer answers a request in a mode, and reports whether the connection stays open.
func (b *backend) answer(conn *net.TCPConn, attempt Attempt, mode Mode) bool {
	if mode != Reject {
		time.Sleep(b.randomDuration(2*time.Millisecond, 25*time.Millisecond))
	}
	r := &response{backend: b, conn: conn, attempt: attempt, plain: headOfLength(len(attempt.Answer)) + attempt.Answer}
	if respond, misbehaves := responders[mode]; misbehaves {
		return respond(r)
	}
	return r.write(r.plain)
}

func headOfLength(length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
}

// write writes parts in order, and reports whether the connection took them.
func (r *response) write(parts ...string) bool {
	for _, part := range parts {
		if _, err := io.WriteString(r.conn, part); err != nil {
			return false
		}
	}
	return true
}

// reset lets the close that follows reset the connection.
func (r *response) reset() bool {
	r.conn.SetLinger(0)
	return false
}

func (r *response) sleep(least, most time.Duration) {
	time.Sleep(r.backend.randomDuration(least, most))
}

// firstHalf is the answer without the second half of its body.
func (r *response) firstHalf() string { return r.plain[:len(r.plain)-len(r.attempt.Answer)/2] }

func (r *response) writeChunked() bool {
	r.write(chunkedHead)
	for _, part := range []string{r.attempt.Answer[:5], r.attempt.Answer[5:]} {
		r.sleep(0, 120*time.Millisecond)
		r.write(strconv.FormatInt(int64(len(part)), 16), "\r\n", part, "\r\n")
	}
	return r.write("0\r\n\r\n")
}

// writeSplit writes the answer in pieces of a few bytes.
func (r *response) writeSplit() bool {
	rest := r.plain
	for len(rest) > 0 {
		size := min(len(rest), 1+int(r.backend.randomDuration(0, 30)))
		if !r.write(rest[:size]) {
			return false
		}
		rest = rest[size:]
		r.sleep(0, 4*time.Millisecond)
	}
	return true
}
