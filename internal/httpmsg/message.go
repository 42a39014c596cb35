// Package httpmsg is what an HTTP front and an HTTP upstream share: a request as it is passed on, and what a server made for
// it. The core carries both without looking into them.
package httpmsg

import (
	"time"

	"ryeweir/internal/bodybuffer"
)

// Bounds of messages.
const (
	MaxBodyBytes     = 32 << 20 // bytes of the longest body
	MaxBufferedBytes = 64 << 10 // bytes that are held of one; a body up to this is held whole, and can be sent again
	MinUploadRate    = 8 << 10  // bytes a second, from when the head was read; slower ones are given up

	// MaxUploadDuration is the time after which a body at the slowest pace has come.
	MaxUploadDuration = MaxBodyBytes/MinUploadRate*time.Second + time.Minute
)

// TimeoutHeader states how long the answer may take.
const TimeoutHeader = "X-Timeout"

// Message is a request as it is passed on.
type Message struct {
	Head []byte // the request's line and headers as bytes, but for the time-out and the empty line
	Body Body
}

// Content is what a server made for a request. It may still be coming in when it is passed on.
type Content struct {
	Pipe        *bodybuffer.Pipe
	Length      int64  // -1 when not known
	ContentType string // its Content-Type; empty without one
}

// Discard gives it up.
func (c *Content) Discard() { c.Pipe.Close() }
