package httpmsg

import (
	"time"

	"ryeweir/internal/bodybuffer"
)

// Bounds of messages.
const (
	// MaxBodyBytes is the length of the longest body, in bytes.
	MaxBodyBytes = 32 << 20
	// MaxBufferedBytes is how many bytes of a body are buffered. One that is not longer can be sent again.
	MaxBufferedBytes = 64 << 10
	// MinUploadRate is the rate, in bytes per second since the head was read, below which a body is given up.
	MinUploadRate = 8 << 10
	// UploadStallTimeout is how long a body may pause, whatever its rate so far.
	UploadStallTimeout = 2200 * time.Millisecond
	// MaxUploadDuration is the time after which the longest body at the lowest rate is complete.
	MaxUploadDuration = MaxBodyBytes/MinUploadRate*time.Second + time.Minute
)

// TimeoutHeader is the header that states how long the answer may take.
const TimeoutHeader = "X-Timeout"

// Message is a request as it is forwarded.
type Message struct {
	Head []byte // the request line and the headers as bytes, without the timeout and the empty line
	Body Body
}

// Content is what an endpoint made for a request. It may still be coming in while it is written to the client.
type Content struct {
	Pipe        *bodybuffer.Pipe
	Length      int64  // in bytes; -1 when it is not known
	ContentType string // empty without one
}

// Discard gives the content up.
func (c *Content) Discard() { c.Pipe.Close() }
