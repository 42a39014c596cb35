package agent

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"ryeweir/internal/flow"
	"ryeweir/internal/wire"
	"ryeweir/logic"
)

const (
	maxFigure     = 1e9 // a load report with more in it is malformed
	timeoutHeader = "X-Timeout"
	mostInterim   = 8           // 1xx answers before the final one
	maxHead       = 16 << 10    // of an answer, with interim ones
	maxAnswer     = 4 * maxBody // its body, however the chunks are cut
	startOfAnswer = "HTTP/1."

	// An answer that stops half way is spoilt, and its connection stays open. One that is held is given up soon, since
	// another attempt may follow; one that is being passed on has more time.
	heldStall = 500 * time.Millisecond
	flowStall = 5 * time.Second
	// Chunks that are not whole by then are passed on as they come.
	flowAfter   = 100 * time.Millisecond
	writeBuffer = 32 << 10
)

// attempt is one Send: a request on its way to one backend.
type attempt struct {
	call    *call
	number  int
	server  string
	backend *backend // its life at the time of the Send
	sent    time.Duration
	until   time.Duration // when the agent stops waiting
	written time.Duration // when a body that was not held had been passed on; else 0
	writeBy time.Duration // when it is too late to begin: at until, or earlier for a keyed request sent before
}

// outcome is how an attempt ended. Every Send gets exactly one.
type outcome struct {
	attempt *attempt
	result  logic.Result
	report  logic.Report
	content *content // of an OK
	spent   bool     // the request's body can't be sent again
}

// sender makes attempts.
type sender struct {
	pool   *pool
	clock  clock
	budget *flow.Budget // for answers
	fields []string     // of load reports
	sent   func()       // an attempt has been written whole
	noted  func(err error)
}

// try makes the attempt and tells its outcome, which is exact: what may have run is never said not to have. A long
// answer goes on being read after that.
func (s *sender) try(ctx context.Context, a *attempt, tell func(outcome)) {
	out := outcome{attempt: a, result: logic.NotSent, report: logic.NoReport}
	limited, cancel := context.WithDeadline(ctx, s.clock.at(a.until))
	defer cancel()
	c, err := s.pool.get(limited, a.backend)
	switch {
	case errors.Is(err, errNotReady) || errors.Is(err, errNoRoom) || err != nil && limited.Err() != nil:
		tell(out) // the agent's own lack says nothing of the backend
		return
	case err != nil:
		out.result = logic.ConnectFailed
		tell(out)
		return
	case !s.stillWanted(a):
		s.pool.put(c, true)
		tell(out)
		return
	}
	x := &exchange{sender: s, conn: c, attempt: a, out: out, tell: tell}
	keep := x.run(ctx)
	s.pool.put(c, keep)
	x.finish()
}

// stillWanted is asked just before the first byte goes out. A dial may have taken long: meanwhile the backend
// may have begun to drain or started anew, the request may have ended, or the backends may have forgotten its key.
func (s *sender) stillWanted(a *attempt) bool {
	return s.clock.now() < a.writeBy && !a.call.closed.Load() && s.pool.takesNew(a.backend)
}

// exchange is an attempt on its connection.
type exchange struct {
	*sender
	conn    *conn
	attempt *attempt
	out     outcome
	tell    func(outcome)
	told    atomic.Bool // whoever sets it tells the outcome
}

// finish tells the outcome, unless that was told when the answer began to flow.
func (x *exchange) finish() {
	if x.told.CompareAndSwap(false, true) {
		x.tell(x.out)
	}
}

// run writes the request and reads the answer; keep says whether the connection is in order then.
func (x *exchange) run(ctx context.Context) (keep bool) {
	req, err := x.write()
	x.out.spent = x.attempt.call.message.body.spent()
	if err != nil {
		x.out.result = logic.ConnectFailed // the backend begins a request when its last byte has come
		if x.attempt.call.message.body.broken() != nil {
			x.out.result = logic.NotSent
		}
		return false
	}
	x.sent()
	until := x.clock.at(x.attempt.until)
	x.conn.timed.latest, x.conn.timed.limit = time.Time{}, func(latest time.Time) time.Time {
		end := latest.Add(heldStall)
		switch {
		case x.told.Load():
			return latest.Add(flowStall)
		case latest.IsZero() || end.After(until):
			return until
		}
		return end
	}
	resp, err := readHead(x.conn, req)
	if err != nil {
		x.out.result = broken(err)
		return false
	}
	x.out.report = x.readReport(resp.Header.Values("X-Server-Load"))
	if resp.StatusCode == http.StatusOK {
		return x.serve(ctx, resp)
	}
	x.out.result = logic.Failed
	if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1" {
		x.out.result = logic.Rejected
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, heldBody))
	if err != nil {
		x.out.result = logic.Reset
	}
	return err == nil && n < heldBody && !resp.Close
}

// serve takes in the body of an answer. A short one is checked to its end before any of it is passed on; one that says it
// is long flows at once, and one that does not say flows as soon as there is much of it, or it takes time. One with no length ends where the backend closes the connection:
// a spoilt one stays open and a backend that dies resets it, so that neither looks like an end.
func (x *exchange) serve(ctx context.Context, resp *http.Response) (keep bool) {
	length := resp.ContentLength
	if length > maxBody {
		x.out.result = logic.Reset
		return false
	}
	want := int64(heldBody)
	if length >= 0 {
		want = min(want, length)
	}
	pipe := flow.NewPipe(x.budget, int(want))
	stop := context.AfterFunc(ctx, pipe.Close) // at the end nobody reads it any more
	defer stop()
	x.out.result = logic.OK
	x.out.content = &content{pipe: pipe, length: length, kind: resp.Header.Get("Content-Type")}
	begin := func() {
		if x.told.CompareAndSwap(false, true) {
			x.conn.SetReadDeadline(time.Now().Add(flowStall)) // also of a read that waits now
			x.tell(x.out)
		}
	}
	if length > heldBody {
		begin()
	} else if len(resp.TransferEncoding) > 0 {
		timer := time.AfterFunc(flowAfter, begin)
		defer timer.Stop()
	}
	err := pipe.Fill(io.LimitReader(resp.Body, maxBody+1), begin)
	if err != nil && x.told.CompareAndSwap(false, true) {
		pipe.Close()
		x.out.result, x.out.content = broken(fmt.Errorf("%w: %w", errSpoilt, err)), nil
		x.tell(x.out)
	}
	return err == nil && !resp.Close
}

// errSpoilt is an answer that can't be what a backend made for the request. The request may have run.
var errSpoilt = errors.New("spoilt answer")

// readHead reads an answer's head, or fails as soon as it can't become one: a spoilt answer may never end.
func readHead(c *conn, req *http.Request) (*http.Response, error) {
	c.left.N = maxHead // http.ReadResponse takes a head of any length
	if err := startsWell(c.reader); err != nil {
		return nil, err
	}
	resp, err := readResponse(c, req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSpoilt, err)
	}
	c.left.N = maxAnswer
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
func (x *exchange) write() (*http.Request, error) {
	a := x.attempt
	in := &a.call.message
	req := &http.Request{Method: in.method, URL: in.url, Host: in.host, Header: in.header.Clone(),
		ContentLength: in.body.length, Body: http.NoBody}
	if in.body.length != 0 {
		req.Body = io.NopCloser(in.body.reader())
	}
	left := min(a.call.timeout, max(0, a.until-x.clock.now()))
	req.Header.Set(timeoutHeader, strconv.FormatInt(left.Microseconds(), 10)+"u")
	if in.body.rest == nil {
		var text bytes.Buffer
		if err := req.Write(&text); err != nil {
			return nil, fmt.Errorf("writing the request: %w", err)
		}
		if err := x.conn.SetWriteDeadline(x.clock.at(a.until)); err != nil {
			return nil, err
		}
		_, err := x.conn.Write(text.Bytes())
		return req, err
	}
	w := bufio.NewWriterSize(stallWriter{x.conn}, writeBuffer)
	if err := req.Write(w); err != nil {
		return nil, err
	}
	if err := w.Flush(); err != nil {
		return nil, err
	}
	a.written = x.clock.now()
	a.until = a.written + a.call.timeout
	return req, nil
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
func readResponse(c *conn, req *http.Request) (*http.Response, error) {
	for range mostInterim {
		resp, err := http.ReadResponse(c.reader, req)
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

// readReport reads the load report of an answer: the first that can be read. A malformed one is no report.
func (s *sender) readReport(texts []string) logic.Report {
	for _, text := range texts {
		r, err := parseReport(text, s.fields)
		if err == nil {
			return r
		}
		s.noted(err)
	}
	return logic.NoReport
}

func parseReport(text string, fields []string) (logic.Report, error) {
	r := logic.NoReport
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(x) || x < 0 || x > maxFigure {
			return r, fmt.Errorf("load report %.100q", text)
		}
		for _, f := range fields {
			if f == name {
				wire.SetFigure(&r, name, x)
			}
		}
	}
	return r, nil
}
