package httpmsg

import (
	"time"

	"ryeweir/internal/bodybuffer"
)

// Limits on messages.
const (
	// MaxBodyBytes is the maximum length of a body, in bytes.
	MaxBodyBytes = 32 << 20
	// MaxBufferedBytes is the maximum number of bytes of a body that are buffered. A body that is not longer can be sent again.
	MaxBufferedBytes = 64 << 10
	// MinUploadRate is the rate, in bytes per second for which the agent waits for the client, below which an upload is aborted.
	MinUploadRate = 8 << 10
	// UploadStallTimeout is the longest time that an upload may pause, whatever its rate so far.
	UploadStallTimeout = 2200 * time.Millisecond
	// MaxUploadDuration is the time that a body of MaxBodyBytes takes at MinUploadRate, plus a margin of one minute.
	MaxUploadDuration = MaxBodyBytes/MinUploadRate*time.Second + time.Minute
	// MaxAnswerDuration is the same for a body that is passed on to a client, which must take it at the same rate.
	MaxAnswerDuration = MaxUploadDuration
)

// Limits on silence.
const (
	// LongestSilence is the time for which a working endpoint may be unreachable or stopped in the middle of an exchange. It then goes on.
	LongestSilence = 6 * time.Second
	// EndpointStallTimeout is how long an endpoint may send nothing in the middle of a response, or take nothing of a request. What is lost
	// during a silence is sent again up to two seconds after it.
	EndpointStallTimeout = LongestSilence + 2*time.Second
)

// TimeoutHeader is the header that states how long the answer to a request may take.
const TimeoutHeader = "X-Timeout"

// Message is a request to be forwarded.
type Message struct {
	Head []byte // request line and headers as sent, without the timeout header and the empty line
	Body Body
}

// Content is the response body of an endpoint. It may still be arriving while it is written to the client.
type Content struct {
	Pipe        *bodybuffer.Pipe
	Length      int64  // in bytes; -1 if unknown
	ContentType string // empty if the response has none
	HeadFirst   bool   // the head is to be sent at once, although nothing of the body has arrived
}

// Discard releases the content without reading the rest of it.
func (c *Content) Discard() { c.Pipe.Close() }
