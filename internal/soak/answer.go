package soak

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// Mode is a way in which a backend misbehaves. In the empty mode it responds normally.
type Mode string

// The modes. Their values are the names in plans and in commands to backends.
const (
	Hang                  Mode = "hang"         // responds after 1 to 8 s
	Reject                Mode = "turnaway"     // 503 with X-Not-Processed
	ServerError           Mode = "error"        // 500
	ResetBefore           Mode = "reset"        // resets the connection after it has read the request
	ResetMidway           Mode = "resetwithin"  // resets the connection within the response body
	Garbage               Mode = "noise"        // sends bytes that are not HTTP
	StallMidway           Mode = "neverends"    // stops within the response body and leaves the connection open for 1 to 8 s
	SecondResponse        Mode = "second"       // sends a second response up to 8 ms after the first
	CloseDelimited        Mode = "nolength"     // sends no length: the body ends with the connection
	Chunked               Mode = "chunked"      // sends the body in two chunks, each after a pause of up to 120 ms
	LongResponse          Mode = "long"         // sends a body that is far larger than an agent buffers
	CloseAfterResponse    Mode = "closes"       // closes the connection after the response without announcing it
	SlowResponse          Mode = "sleepy"       // responds after half to all of the time allowed, 2 s at most
	InterimResponses      Mode = "interim"      // sends interim responses before the final one
	SplitResponse         Mode = "split"        // writes the response in small pieces
	EarlyResponse         Mode = "early"        // sends an error before the request is complete
	DelayedReject         Mode = "refuselong"   // as Reject, 50 to 400 ms later
	PausedResponse        Mode = "pauses"       // pauses within the response body, for up to three quarters of the time allowed
	CloseIdle             Mode = "crossingidle" // closes a connection after 20 ms without a request
	ResetAfterHead        Mode = "headoflong"   // sends the head of a long response, and resets the connection before any of the body
	ResetAfterChunkedHead Mode = "headofchunks" // sends the head of a chunked response, and resets the connection 50 to 200 ms later
)

// backendModes are the modes that a plan draws from. A backend tries the modes that are on in this order.
var backendModes = []Mode{Hang, Reject, ServerError, ResetBefore, ResetMidway, Garbage, StallMidway, SecondResponse, CloseDelimited, Chunked,
	LongResponse, CloseAfterResponse, SlowResponse, InterimResponses, SplitResponse, EarlyResponse, DelayedReject, PausedResponse, CloseIdle, ResetAfterHead, ResetAfterChunkedHead}

// longResponseBytes is the size of the padding in the body of a LongResponse, far more than an agent buffers.
const longResponseBytes = 300 << 10

const (
	rejectedResponse = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	chunkedHead      = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// response is the response to one attempt while it is being written.
type response struct {
	backend *backend
	conn    *net.TCPConn
	attempt Attempt
	normal  string // the complete response of a backend that behaves
}

// responders maps a mode to the function that writes the response and reports whether the connection stays open. EarlyResponse and
// CloseIdle are not in it: they take effect while the backend reads (backend.go).
var responders = map[Mode]func(*response) bool{
	Hang: func(r *response) bool {
		r.sleep(time.Second, 8*time.Second)
		return r.write(r.normal)
	},
	Reject: func(r *response) bool {
		return r.write(rejectedResponse)
	},
	DelayedReject: func(r *response) bool {
		r.sleep(50*time.Millisecond, 400*time.Millisecond)
		return r.write(rejectedResponse)
	},
	ServerError: func(r *response) bool {
		return r.write("HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops")
	},
	ResetBefore: (*response).reset,
	ResetMidway: func(r *response) bool {
		r.write(r.withoutSecondHalf())
		r.sleep(0, 30*time.Millisecond)
		return r.reset()
	},
	Garbage: func(r *response) bool {
		r.write("\x16\x03\x01\x00 this is no answer")
		r.sleep(0, 6*time.Second) // the connection stays open for a while, but is unusable
		return false
	},
	StallMidway: func(r *response) bool {
		r.write(r.withoutSecondHalf())
		r.sleep(time.Second, 8*time.Second)
		return false
	},
	SecondResponse: func(r *response) bool {
		r.write(r.normal)
		r.sleep(0, 8*time.Millisecond)
		return r.write(strings.Replace(r.normal, r.attempt.Request, strings.Repeat("x", len(r.attempt.Request)), 1))
	},
	CloseDelimited: func(r *response) bool {
		r.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", r.attempt.ResponseBody)
		return false
	},
	Chunked: (*response).writeChunked,
	LongResponse: func(r *response) bool {
		padding := strings.Repeat(".", longResponseBytes)
		return r.write(headWithLength(len(r.attempt.ResponseBody)+len(padding)), r.attempt.ResponseBody, padding)
	},
	CloseAfterResponse: func(r *response) bool {
		r.write(r.normal)
		return false
	},
	SlowResponse: func(r *response) bool {
		stated := r.attempt.StatedTimeout
		time.Sleep(min(r.backend.randomDuration(stated/2, stated), 2*time.Second))
		return r.write(r.normal)
	},
	ResetAfterHead: func(r *response) bool {
		r.write(headWithLength(longResponseBytes))
		r.sleep(0, 20*time.Millisecond)
		return r.reset()
	},
	ResetAfterChunkedHead: func(r *response) bool {
		r.write(chunkedHead)
		r.sleep(50*time.Millisecond, 200*time.Millisecond)
		return r.reset()
	},
	InterimResponses: func(r *response) bool {
		return r.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n", r.normal)
	},
	SplitResponse: (*response).writeSplit,
	SlowAnswer:    (*response).writeSlowly,
	PausedResponse: func(r *response) bool {
		half := r.withoutSecondHalf()
		r.write(half)
		r.sleep(0, min(r.attempt.StatedTimeout, 2*time.Second)*3/4)
		return r.write(r.normal[len(half):])
	},
}

// respond writes the response to an attempt in the given mode, and reports whether the connection stays open.
func (b *backend) respond(conn *net.TCPConn, attempt Attempt, mode Mode) bool {
	if mode != Reject {
		time.Sleep(b.randomDuration(2*time.Millisecond, 25*time.Millisecond))
	}
	r := &response{backend: b, conn: conn, attempt: attempt, normal: headWithLength(len(attempt.ResponseBody)) + attempt.ResponseBody}
	if responder, found := responders[mode]; found {
		return responder(r)
	}
	return r.write(r.normal)
}

// headWithLength returns the head of a response whose body has the given length in bytes.
func headWithLength(length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
}

// write writes the parts in order, and reports whether all were written.
func (r *response) write(parts ...string) bool {
	for _, part := range parts {
		if _, err := io.WriteString(r.conn, part); err != nil {
			return false
		}
	}
	return true
}

// reset makes closing the connection send a TCP reset. It returns false, so the caller closes the connection.
func (r *response) reset() bool {
	r.conn.SetLinger(0)
	return false
}

func (r *response) sleep(least, most time.Duration) {
	time.Sleep(r.backend.randomDuration(least, most))
}

// withoutSecondHalf returns the normal response without the second half of its body.
func (r *response) withoutSecondHalf() string {
	return r.normal[:len(r.normal)-len(r.attempt.ResponseBody)/2]
}

// writeChunked writes the response body in two chunks, each after a pause of up to 120 ms.
func (r *response) writeChunked() bool {
	r.write(chunkedHead)
	for _, part := range []string{r.attempt.ResponseBody[:5], r.attempt.ResponseBody[5:]} {
		r.sleep(0, 120*time.Millisecond)
		r.write(strconv.FormatInt(int64(len(part)), 16), "\r\n", part, "\r\n")
	}
	return r.write("0\r\n\r\n")
}

// writeSplit writes the normal response in pieces of 1 to 30 bytes, up to 4 ms apart.
func (r *response) writeSplit() bool {
	rest := r.normal
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
