package http

import (
	"sync"
	"time"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/framing"
	"ryeweir/internal/httpmsg"
)

// watchUploadDeadline ends the call of a long body when its client's deadline may have passed, although the agent has not read the last byte: an
// endpoint takes the body more slowly than its client has written it. Before that it looks whether the client still writes. lookedAhead says that it
// has just done so.
func (x *exchange) watchUploadDeadline(lookedAhead bool) {
	if x.ctx.Err() != nil || x.upload.Upload.Complete() {
		return
	}
	remaining := x.call.Timeout - x.upload.Upload.Elapsed(time.Now())
	switch {
	case remaining > 0:
		time.AfterFunc(max(remaining, minWatchInterval), func() { x.watchUploadDeadline(false) })
	case !lookedAhead:
		x.lookAhead()
	default:
		x.server.Core.UploadExpired(x.call)
	}
}

// lookAhead looks whether the client of a long body still writes, and continues to watch its deadline when that is known or httpmsg.LookAheadTime has
// passed.
func (x *exchange) lookAhead() {
	var once sync.Once
	conclude := func() { once.Do(func() { x.watchUploadDeadline(true) }) }
	time.AfterFunc(httpmsg.LookAheadTime, conclude)
	go func() {
		if x.upload.ReadAhead() {
			conclude()
		}
	}()
}

// uploadCompleted is called by the goroutine that reads the last byte of the body. When that byte arrived does not tell when the client wrote it: it
// may have waited in the client's kernel until the agent read on. If the body goes on behind its length, it returns an error.
func (x *exchange) uploadCompleted() error {
	elapsed := x.upload.Upload.Elapsed(time.Now())
	disconnected := connlimit.OnDisconnect(x.ctx, x.cancelCtx)
	if !disconnected && x.upload.Upload.Length >= 0 && connlimit.SettleInput(x.ctx, settleLimit) {
		disconnected = true
	}
	if x.bodyContinues() {
		return httpmsg.ErrBodyTooLong
	}
	x.recordReceived()
	x.server.Core.BodyReceived(x.call, x.server.Clock.Now()-elapsed)
	if disconnected {
		x.cancelCtx()
	}
	return nil
}

// bodyContinues reports whether the client has sent more of the request than its length tells. It must be called when what has arrived behind the
// request has been read.
func (x *exchange) bodyContinues() bool { return framing.BodyContinues(x.ctx) }
