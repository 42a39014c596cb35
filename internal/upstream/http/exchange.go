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
	"sync/atomic"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/flow"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/pool"
	"ryeweir/logic"
)

const (
	mostInterim   = 8                   // 1xx answers before the final one
	maxHead       = 16 << 10            // of an answer, with interim ones
	maxAnswer     = 4 * httpmsg.MaxBody // its body, however the chunks are cut
	startOfAnswer = "HTTP/1."

	// An answer that stops half way is spoilt, and its connection stays open. One that is held is given up soon, since
	// another attempt may follow; one that is being passed on has more time.
	heldStall = 500 * time.Millisecond
	flowStall = 5 * time.Second
	// Chunks that are not whole by then are passed on as they come.
	flowAfter   = 100 * time.Millisecond
	writeBuffer = 32 << 10
	keptText    = 8 << 10 // room for a request's text that a connection keeps
)

// state is what the pool keeps with a connection.
type state struct {
	reader *bufio.Reader
	left   *io.LimitedReader // under reader: what an answer may still bring
	timed  *timedReader      // under that
	text   []byte            // the latest request's text, kept for its room
}

// Wrap makes the state of a new connection.
func Wrap(c net.Conn) any {
	timed := &timedReader{conn: c}
	left := &io.LimitedReader{R: timed}
	return &state{reader: bufio.NewReader(left), left: left, timed: timed}
}

// timedReader reads for as long as its limit allows, which may be put off while it waits.
type timedReader struct {
	conn   net.Conn
	latest time.Time                        // when something last came; zero before
	limit  func(latest time.Time) time.Time // the time by which something must come
}

func (r *timedReader) Read(p []byte) (int, error) {
	for {
		if err := r.conn.SetReadDeadline(r.limit(r.latest)); err != nil {
			return 0, err
		}
		n, err := r.conn.Read(p)
		if n > 0 {
			r.latest = time.Now()
		} else if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(r.limit(r.latest)) {
			continue
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
	message *httpmsg.Message
	out     core.Outcome
	told    atomic.Bool // whoever sets it tells the outcome
}

// finish tells the outcome, unless that was told when the answer began to flow.
func (x *exchange) finish() {
	if x.told.CompareAndSwap(false, true) {
		x.attempt.Report(x.out)
	}
}

// run writes the request and reads the answer; keep says whether the connection is in order then.
func (x *exchange) run(ctx context.Context) (keep bool) {
	err := x.write()
	x.out.Spent = x.message.Body.Spent()
	if err != nil {
		x.out.Result = logic.ConnectFailed // the server begins a request when its last byte has come
		if x.message.Body.Broken() != nil {
			x.out.Result = logic.NotSent
		}
		return false
	}
	x.Sent()
	until := x.Clock.At(x.attempt.Until())
	x.state.timed.latest, x.state.timed.limit = time.Time{}, func(latest time.Time) time.Time {
		end := latest.Add(heldStall)
		switch {
		case x.told.Load():
			return latest.Add(flowStall)
		case latest.IsZero() || end.After(until):
			return until
		}
		return end
	}
	resp, err := x.state.readHead()
	if err != nil {
		x.out.Result = broken(err)
		return false
	}
	x.out.Report = x.readReport(resp.Header.Values("X-Server-Load"))
	if resp.StatusCode == http.StatusOK {
		keep = x.serve(ctx, resp)
	} else {
		keep = x.passOver(resp)
	}
	return keep && x.state.reader.Buffered() == 0
}

// passOver takes an answer that serves nothing for what it says of the request.
func (x *exchange) passOver(resp *http.Response) (keep bool) {
	x.out.Result = logic.Failed
	if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1" {
		x.out.Result = logic.Rejected
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, httpmsg.HeldBody))
	if err != nil {
		x.out.Result = logic.Reset
	}
	return err == nil && n < httpmsg.HeldBody && !resp.Close
}

// serve takes in the body of an answer. A short one is checked to its end before any of it is passed on; one that says it
// is long flows at once, and one that does not say flows as soon as there is much of it, or it takes time. One with no
// length ends where the server closes the connection: a spoilt one stays open and a server that dies resets it, so that
// neither looks like an end.
func (x *exchange) serve(ctx context.Context, resp *http.Response) (keep bool) {
	length := resp.ContentLength
	if length > httpmsg.MaxBody {
		x.out.Result = logic.Reset
		return false
	}
	want := int64(httpmsg.HeldBody)
	if length >= 0 {
		want = min(want, length)
	}
	pipe := flow.NewPipe(x.Budget, int(want))
	x.out.Result = logic.OK
	x.out.Content = &httpmsg.Content{Pipe: pipe, Length: length, Kind: resp.Header.Get("Content-Type")}
	begin := func() {
		if x.told.CompareAndSwap(false, true) {
			x.conn.SetReadDeadline(time.Now().Add(flowStall)) // also of a read that waits now
			x.attempt.Report(x.out)
		}
	}
	if length < 0 || length > int64(pipe.Size()) { // else nobody waits for room in it
		stop := context.AfterFunc(ctx, pipe.Close) // at the end nobody reads it any more
		defer stop()
	}
	if length > httpmsg.HeldBody {
		begin()
	} else if len(resp.TransferEncoding) > 0 {
		timer := time.AfterFunc(flowAfter, begin)
		defer timer.Stop()
	}
	err := pipe.Fill(io.LimitReader(resp.Body, httpmsg.MaxBody+1), begin)
	if err != nil && x.told.CompareAndSwap(false, true) {
		pipe.Close()
		x.out.Result, x.out.Content = broken(fmt.Errorf("%w: %w", errSpoilt, err)), nil
		x.attempt.Report(x.out)
	}
	return err == nil && !resp.Close
}

// errSpoilt is an answer that can't be what a backend made for the request. The request may have run.
var errSpoilt = errors.New("spoilt answer")

// readHead reads an answer's head, or fails as soon as it can't become one: a spoilt answer may never end.
func (s *state) readHead() (*http.Response, error) {
	s.left.N = maxHead // http.ReadResponse takes a head of any length
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

// write writes the request whole, or fails.
func (x *exchange) write() error {
	a, m := x.attempt, x.message
	left := min(a.Call.Timeout, max(0, a.Until()-x.Clock.Now()))
	text := append(x.state.text[:0], m.Head...)
	text = append(text, httpmsg.TimeoutHeader+": "...)
	text = strconv.AppendInt(text, left.Microseconds(), 10)
	text = append(text, "u\r\n\r\n"...)
	if m.Body.Rest == nil {
		text = append(text, m.Body.Held...)
		if cap(text) <= keptText {
			x.state.text = text
		}
		if err := x.conn.SetWriteDeadline(x.Clock.At(a.Until())); err != nil {
			return err
		}
		_, err := x.conn.Write(text)
		return err
	}
	w := bufio.NewWriterSize(stallWriter{x.conn}, writeBuffer)
	w.Write(text) // an error stays until Flush
	if err := copyBody(w, &m.Body); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	a.Written(x.Clock.Now())
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

// stallWriter writes to a connection for as long as that makes progress.
type stallWriter struct{ net.Conn }

func (w stallWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(flowStall)); err != nil {
		return 0, err
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
