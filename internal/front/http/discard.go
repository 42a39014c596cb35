package http

import (
	"net/http"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/httpmsg"
)

// uploadDiscard reads and discards the rest of a request's body while the answer is written. Without it, a client that sends its whole body before it
// reads would wait for the agent to read, and the agent for it. The methods of a nil uploadDiscard do nothing.
type uploadDiscard struct {
	upload *httpmsg.Remainder
	ended  chan struct{} // closed when nothing is read any more
}

// beginDiscard begins to discard the rest of the body. The handler must call stop before it returns.
func (x *exchange) beginDiscard() *uploadDiscard {
	d := &uploadDiscard{upload: x.upload, ended: make(chan struct{})}
	go func() {
		defer close(d.ended)
		d.upload.Drain()
	}()
	return d
}

// await waits until the rest of the body has been read, or its client has stopped sending.
func (d *uploadDiscard) await() {
	if d != nil {
		<-d.ended
	}
}

// stop ends the discarding at once.
func (d *uploadDiscard) stop() {
	if d != nil {
		d.upload.Stop()
		<-d.ended
	}
}

// flushBeforeDiscard sends what is left of an answer, and lets the connection be evicted: what follows is only the rest of the request, which is discarded
// so that a client that still sends does not find the connection closed before it has read its answer.
func (x *exchange) flushBeforeDiscard(control *http.ResponseController) {
	control.Flush()
	connlimit.BeginDiscard(x.ctx)
}
