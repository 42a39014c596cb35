package http

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ryeweir/internal/bodybuffer"
	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/pool"
	"ryeweir/logic"
)

const (
	mostInterim   = 8                        // 1xx answers before the final one
	maxHead       = 16 << 10                 // of an answer, with interim ones
	maxAnswer     = 4 * httpmsg.MaxBodyBytes // its body, however the chunks are cut
	startOfAnswer = "HTTP/1."

	// An answer that stops half way is spoilt, and its connection stays open. One that is held is given up soon, since
	// another attempt may follow; one that is being passed on has more time.
	heldStall = 500 * time.Millisecond
	flowStall = 5 * time.Second
	// Chunks that are not whole by then are passed on as they come.
	flowAfter   = 100 * time.Millisecond
	writeBuffer = 32 << 10
	lastWord    = 20 * time.Millisecond // what a server said before it stopped reading may still be on its way
	keptText    = 8 << 10               // room for a request's text that a connection keeps
)

// state is what the pool keeps with a connection.
type state struct {
	reader *bufio.Reader
	left   *io.LimitedReader // under reader: what an answer may still bring
	timed  *timedReader      // under that
	text   []byte            // the latest request's text, kept for its room
}

// NewConnState makes the state of a new connection.
func NewConnState(c net.Conn) any {
	timed := &timedReader{conn: c}
	left := &io.LimitedReader{R: timed}
	return &state{reader: bufio.NewReader(left), left: left, timed: timed}
}

// timedReader reads for as long as its limit allows, which may be put off while it waits.
type timedReader struct {
	conn   net.Conn
	latest time.Time                        // when something last came; zero before
	limit  func(latest time.Time) time.Time // the time by which something must come
	set    time.Time                        // the connection's deadline
}

// nearDeadline is how near a deadline must be to be set anew: one that comes too early costs another turn, and each change of a
// deadline a little.
const nearDeadline = 100 * time.Millisecond

func (r *timedReader) Read(p []byte) (int, error) {
	for {
		if limit := r.limit(r.latest); r.set.After(limit) || time.Until(r.set) < nearDeadline {
			if err := r.conn.SetReadDeadline(limit); err != nil {
				return 0, err
			}
			r.set = limit
		}
		n, err := r.conn.Read(p)
		if n > 0 {
			r.latest = time.Now()
		} else if errors.Is(err, os.ErrDeadlineExceeded) {
			if r.set = (time.Time{}); time.Now().Before(r.limit(r.latest)) {
				continue
			}
		}
		return n, err
	}
}

// exchange is an attempt on its connection.
type exchange struct {
	*Upstream
	conn    *pool.Conn
	state   *state
	attempt *core.Attempt
	node    *pool.Endpoint
	message *httpmsg.Message
	out     core.Outcome
	told    atomic.Bool  // whoever sets it tells the outcome
	flows   atomic.Bool  // the answer is to flow once some of its body is there
	cut     atomic.Int64 // when reading was over, on the clock; 0 while it is not. It stays what it is: a reader compares with it
}

// finish tells the outcome, unless that was told when the answer began to flow.
func (x *exchange) finish() {
	if x.told.CompareAndSwap(false, true) {
		x.attempt.Report(x.out)
	}
}

// run writes the request and reads the answer; it says how that leaves the connection.
func (x *exchange) run(ctx context.Context) pool.ReleaseOutcome {
	x.state.left.N = maxHead // http.ReadResponse takes a head of any length
	x.state.timed.latest, x.state.timed.limit = time.Time{}, func(latest time.Time) time.Time {
		until, end := x.Clock.At(x.attempt.Deadline()), latest.Add(heldStall)
		switch cut := x.cut.Load(); {
		case cut != 0:
			return x.Clock.At(time.Duration(cut))
		case x.told.Load():
			return latest.Add(flowStall)
		case x.flows.Load():
			return until
		case latest.IsZero() || end.After(until):
			return until
		}
		return end
	}
	early, err := x.writeAll()
	x.out.NotReplayable = x.message.Body.Consumed()
	if err != nil && !early {
		x.out.Result = logic.ConnectFailed // the server begins a request when its last byte has come
		if x.message.Body.Err() != nil {
			x.out.Result = logic.NotSent
			return pool.Abandoned // the server did nothing wrong
		}
		if x.message.Body.Remainder == nil && errors.Is(err, os.ErrDeadlineExceeded) && x.hasty() {
			x.out.Result = logic.NotSent // the time was over before the server could take it
			return pool.Abandoned
		}
		return x.broke(err)
	}
	if err == nil {
		x.OnRequestWritten()
		x.recordWritten()
	}
	resp, bad := x.state.readHead()
	if bad != nil {
		if x.out.Result = x.broken(bad); err != nil {
			x.out.Result = logic.ConnectFailed
		}
		return x.broke(bad)
	}
	x.out.LoadReport = x.readReport(resp.Header.Values("X-Server-Load"))
	var how pool.ReleaseOutcome
	if resp.StatusCode == http.StatusOK {
		how = x.serve(ctx, resp)
	} else {
		how = x.passOver(resp)
	}
	if early && err != nil { // not all of the request was written, which servers begin with its last byte
		if resp.StatusCode != http.StatusOK {
			x.out.Result = logic.Rejected
		}
		return pool.Broken
	}
	if how == pool.Reusable && x.state.reader.Buffered() > 0 {
		return pool.Broken
	}
	return how
}

// recordWritten records that the request is out, and on which connection.
func (x *exchange) recordWritten() {
	written := event.Event{Kind: event.AttemptWritten, Request: x.attempt.Call.ID, Attempt: x.attempt.Number, Endpoint: x.attempt.Endpoint}
	if x.Events.Verbose() {
		written.Detail = x.conn.LocalAddr().String()
	}
	x.Events.Record(written)
}

// broke says how an exchange without an answer leaves its connection. On a used one that ended before a byte came, the server
// was closing it as the request went out.
func (x *exchange) broke(err error) pool.ReleaseOutcome {
	if x.out.Result == logic.TimedOut && x.hasty() {
		return pool.Abandoned
	}
	return x.state.broke(x.conn, err)
}

// hasty reports whether the client left less time than an answer may take: that none came says nothing of the server.
func (x *exchange) hasty() bool {
	return x.Clock.Now()-x.attempt.AwaitingSince() < x.attempt.Call.LatencyObjective
}

func (s *state) broke(c *pool.Conn, err error) pool.ReleaseOutcome {
	if !c.FirstUse() && s.timed.latest.IsZero() && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errSpoilt) {
		return pool.ClosedByServer
	}
	return pool.Broken
}

// left says how an answer leaves its connection.
func left(resp *http.Response, err error) pool.ReleaseOutcome {
	switch {
	case err != nil:
		return pool.Broken
	case resp.Close:
		return pool.MustClose
	}
	return pool.Reusable
}

// passOver takes an answer that serves nothing for what it says of the request.
func (x *exchange) passOver(resp *http.Response) pool.ReleaseOutcome {
	x.out.Result = logic.Failed
	if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1" {
		x.out.Result = logic.Rejected
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, httpmsg.MaxBufferedBytes))
	if err != nil {
		x.out.Result = logic.Reset
	} else if n == httpmsg.MaxBufferedBytes { // more of it is not worth waiting for
		return pool.MustClose
	}
	return left(resp, err)
}

// serve takes in the body of an answer. A short one is checked to its end before any of it is passed on; one that says it
// is long flows with its first byte, and one that does not say flows as soon as there is much of it, or it takes time. One with no
// length ends where the server closes the connection: a spoilt one stays open and a server that dies resets it, so that
// neither looks like an end.
func (x *exchange) serve(ctx context.Context, resp *http.Response) pool.ReleaseOutcome {
	length := resp.ContentLength
	if length > httpmsg.MaxBodyBytes {
		x.out.Result = logic.Reset
		return pool.Broken
	}
	want := int64(httpmsg.MaxBufferedBytes)
	if length >= 0 {
		want = min(want, length)
	}
	pipe := bodybuffer.NewPipe(x.Budget, int(want))
	x.out.Result = logic.OK
	x.out.Content = &httpmsg.Content{Pipe: pipe, Length: length, ContentType: resp.Header.Get("Content-Type")}
	var flowing whileOpen // it must not begin once the exchange is over: by then the connection may be another's
	begin := func() {
		if x.told.CompareAndSwap(false, true) {
			x.conn.SetReadDeadline(time.Now().Add(flowStall)) // also of a read that waits now
			x.attempt.Report(x.out)
		}
	}
	// An answer flows only once some of its body is there: one that breaks off behind its head has not begun for its client.
	flow := func() {
		flowing.do(func() {
			x.flows.Store(true)
			if held, _ := pipe.Complete(); held > 0 {
				begin()
			}
		})
	}
	added := func() {
		flowing.do(func() {
			if x.flows.Load() {
				begin()
			}
		})
	}
	defer flowing.end()
	if length < 0 || length > int64(pipe.Size()) { // else nobody waits for room in it
		stop := context.AfterFunc(ctx, pipe.Close) // at the end nobody reads it any more
		defer stop()
	}
	if length > httpmsg.MaxBufferedBytes {
		flow()
	} else if len(resp.TransferEncoding) > 0 {
		timer := time.AfterFunc(flowAfter, flow)
		defer timer.Stop()
	}
	err := pipe.Fill(io.LimitReader(resp.Body, httpmsg.MaxBodyBytes+1), flow, added)
	if err != nil && x.told.CompareAndSwap(false, true) {
		pipe.Close()
		x.out.Result, x.out.Content = x.broken(fmt.Errorf("%w: %w", errSpoilt, err)), nil
		x.attempt.Report(x.out)
		if x.out.Result == logic.TimedOut && x.hasty() {
			return pool.Abandoned
		}
	}
	return left(resp, err)
}

// whileOpen lets something happen while an exchange lasts.
type whileOpen struct {
	mu   sync.Mutex
	over bool
}

func (b *whileOpen) do(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.over {
		f()
	}
}

// end returns once nothing happens any more.
func (b *whileOpen) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.over = true
}

// errSpoilt is an answer that can't be what a backend made for the request. The request may have run.
var errSpoilt = errors.New("spoilt answer")

// readHead reads an answer's head, or fails as soon as it can't become one: a spoilt answer may never end.
func (s *state) readHead() (*http.Response, error) {
	if err := startsWell(s.reader); err != nil {
		return nil, err
	}
	resp, err := s.readResponse()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSpoilt, err)
	}
	s.left.N = maxAnswer
	return resp, nil
}

// startsWell waits for the answer's first bytes, and fails at the first that no answer begins with: noise may hold
// no end of a line, for which the parser would wait.
func startsWell(r *bufio.Reader) error {
	for n := 1; n <= len(startOfAnswer); n++ {
		got, err := r.Peek(n)
		if err != nil {
			return err
		}
		if got[n-1] != startOfAnswer[n-1] {
			return errSpoilt
		}
	}
	return nil
}

// writeAll writes the request. While a long body is on its way it watches for an answer that does not wait for the rest: early
// says that one has begun to come.
func (x *exchange) writeAll() (early bool, err error) {
	if x.message.Body.Remainder == nil {
		return false, x.write(nil)
	}
	var written, answered atomic.Bool
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := x.state.reader.Peek(1); err == nil && !written.Load() {
			answered.Store(true)
			x.message.Body.Remainder.Stop()
			x.conn.SetWriteDeadline(time.Now())
		}
	}()
	err = x.write(&answered)
	written.Store(true)
	if err == nil {
		x.conn.SetReadDeadline(x.Clock.At(x.attempt.Deadline())) // the watch waited for as long as a body may take
	} else if !answered.Load() {
		last := time.AfterFunc(lastWord, func() {
			x.cut.Store(int64(x.Clock.Now()))
			x.conn.SetReadDeadline(time.Now())
		})
		defer last.Stop()
	}
	<-watched
	return answered.Load() || err != nil && x.state.reader.Buffered() > 0, err
}

// write writes the request whole, or fails.
func (x *exchange) write(answered *atomic.Bool) error {
	a, m := x.attempt, x.message
	left := min(a.Call.Timeout, max(0, a.Deadline()-x.Clock.Now()))
	text := append(x.state.text[:0], m.Head...)
	text = append(text, httpmsg.TimeoutHeader+": "...)
	text = strconv.AppendInt(text, left.Microseconds(), 10)
	text = append(text, "u\r\n\r\n"...)
	if m.Body.Remainder == nil {
		text = append(text, m.Body.Buffered...)
		if cap(text) <= keptText {
			x.state.text = text
		}
		if err := x.conn.SetWriteDeadline(x.Clock.At(a.Deadline())); err != nil {
			return err
		}
		_, err := x.conn.Write(text)
		after := x.send(a, x.node)
		x.Monitor.Sent(a.Call.ID, after, left, a.Deadline()+a.Call.TimeoutSlack-after.Now)
		return err
	}
	w := bufio.NewWriterSize(stallWriter{x.conn, answered}, writeBuffer)
	w.Write(text) // an error stays until Flush
	if err := copyBody(w, &m.Body); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	a.RequestWritten(x.Clock.Now())
	return nil
}

// copyBody writes a body in the form that its head states: of its length, or in chunks.
func copyBody(w *bufio.Writer, body *httpmsg.Body) error {
	if body.Length < 0 {
		chunks := httputil.NewChunkedWriter(w)
		if _, err := io.Copy(chunks, body.Reader()); err != nil {
			return err
		}
		if err := chunks.Close(); err != nil {
			return err
		}
		_, err := w.WriteString("\r\n") // no trailers
		return err
	}
	n, err := io.Copy(w, body.Reader())
	if err == nil && n != body.Length {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// errAnswered ends the writing of a request whose answer has come.
var errAnswered = errors.New("the server has answered already")

// stallWriter writes to a connection for as long as that makes progress and there is no answer.
type stallWriter struct {
	net.Conn
	answered *atomic.Bool
}

func (w stallWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(flowStall)); err != nil {
		return 0, err
	}
	if w.answered.Load() { // asked after the deadline was set, which else might undo the one that ends this
		return 0, errAnswered
	}
	return w.Conn.Write(p)
}

// readResponse reads the head of the final answer, past interim ones.
func (s *state) readResponse() (*http.Response, error) {
	for range mostInterim {
		resp, err := http.ReadResponse(s.reader, nil)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, errors.New("too many interim answers")
}

// broken is the result of a request that was written whole and got no whole answer.
func broken(err error) logic.Result {
	if errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errSpoilt) {
		return logic.TimedOut
	}
	return logic.Reset
}

// broken is that of an exchange: an answer that was still coming when the time was over is late, not spoilt.
func (x *exchange) broken(err error) logic.Result {
	if errors.Is(err, os.ErrDeadlineExceeded) && x.Clock.Now() >= x.attempt.Deadline() {
		return logic.TimedOut
	}
	return broken(err)
}
