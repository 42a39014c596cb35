package agent

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/flow"
	"ryeweir/internal/framing"
	"ryeweir/internal/metrics"
	"ryeweir/internal/wire"
)

const (
	deadlineMargin = 20 * time.Millisecond   // before the client's deadline a request is ended, so that its answer is out in time
	writeTimeout   = 2 * time.Second         // for an answer without a body that the client does not read
	clientStall    = 5 * time.Second         // for a piece of a body
	headerTimeout  = 2600 * time.Millisecond // for the head of a request, from when the client connected
	clientIdle     = 2100 * time.Millisecond // an idle client connection is closed
	drainIdle      = time.Second             // and sooner in a drain: its client has others, or is about to leave
	drainSweep     = 100 * time.Millisecond  // how often a drain looks for those
	maxHeader      = 16 << 10
	heldPart       = 0.8         // of the clients' connections may hold a request; the rest can be told so at once
	heldRetry      = time.Second // the come-back time when too much is open
)

// server is the side that faces the clients.
type server struct {
	site      wire.Site
	loop      *loop
	clock     clock
	metrics   *metrics.Metrics
	budget    *flow.Budget // for the bodies of requests
	log       *slog.Logger
	mostHeld  int64         // requests open at a time
	acceptFor time.Duration // new connections are accepted for so long after the signal to end
	held      atomic.Int64
	phase     phase
	accepting atomic.Bool // clients' connections are being accepted
	crowded   func() bool // so many connections are open that answers close theirs
}

// newServer returns a server with room for so many connections from clients.
func newServer(cfg Config, l *loop, c clock, most int, m *metrics.Metrics, log *slog.Logger) *server {
	s := &server{site: cfg.Site, loop: l, clock: c, metrics: m, log: log, mostHeld: int64(heldPart * float64(most)), acceptFor: cfg.acceptFor,
		crowded: func() bool { return false }}
	if cfg.Site.MostHeld > 0 {
		s.mostHeld = min(s.mostHeld, int64(cfg.Site.MostHeld))
	}
	return s
}

// httpServer returns the net/http server that s answers for.
func (s *server) httpServer() *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       clientIdle,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelWarn),
		ConnState:         connlimit.State,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return framing.Context(connlimit.Context(ctx, c), c)
		},
	}
}

// ServeHTTP gives each request its one answer.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ready" {
		s.closing(w, r)
		s.readiness(w)
		return
	}
	class := s.class(r)
	if class < 0 {
		turnAway(w, badRequest{http.StatusNotFound, "unknown class"})
		return
	}
	c, release, err := s.accept(w, r, class)
	if err != nil {
		if !errors.Is(err, errNotWhole) { // else there was no request to answer
			s.metrics.Answered(class, metrics.Failed)
		}
		turnAway(w, err)
		return
	}
	defer release()
	var taken atomic.Bool
	took := func() time.Duration {
		taken.Store(true)
		s.metrics.Taken()
		return s.clock.now()
	}
	defer func() {
		if taken.Load() {
			s.metrics.Released()
		}
	}()
	rest := c.message.body.rest
	if rest == nil {
		c.deadline = took() + c.timeout
	} else {
		rest.ended = func() { s.loop.tell(received{c, took()}) }
	}
	connlimit.Hold(r.Context())
	defer s.held.Add(-1)
	if s.held.Add(1) > s.mostHeld { // nothing was sent yet, so a refusal's promise holds
		s.write(w, r, c, answer{verdict: refused, retryAfter: heldRetry})
		return
	}
	s.loop.tell(arrived{c})
	select {
	case a := <-c.answer:
		s.write(w, r, c, a)
	case <-r.Context().Done():
		s.loop.tell(clientLeft{c})
		if rest != nil {
			http.NewResponseController(w).SetReadDeadline(time.Now()) // for an attempt that reads from it
			rest.close()
			if _, err := rest.state(); err != nil { // net/http ends the context also when a body stops
				turnAway(w, brokenBody(err))
				return
			}
		}
		panic(http.ErrAbortHandler) // a plain return would make net/http answer 200, which no backend said
	case <-s.loop.done: // never before the server has drained
		s.write(w, r, c, answer{verdict: failed})
	}
}

// turnAway answers bad input. It closes the connection, as what comes behind may be a part of it.
func turnAway(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if bad, ok := errors.AsType[badRequest](err); ok {
		status = bad.status
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

func (s *server) readiness(w http.ResponseWriter) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// Ready reports whether the agent takes clients: it accepts them and has a backend to send to.
func (s *server) Ready() bool {
	return s.accepting.Load() && s.loop.ready.Load() && !s.phase.leaving()
}

// Drain sends clients away without ending the process: readiness says no, answers close their connections and idle ones
// are closed. Those who come all the same are served.
func (s *server) Drain() error { return s.steer(draining, "draining for operators") }

// Activate ends a drain.
func (s *server) Activate() error { return s.steer(serving, "taking clients for operators") }

func (s *server) steer(to int32, text string) error {
	err := s.phase.move(to)
	s.log.Info(text, "error", err)
	return err
}

// closing lets the answer about to be written close its connection, where the agent wants clients off or has many. Behind
// a body in chunks nothing is read that the framing check has not followed.
func (s *server) closing(w http.ResponseWriter, r *http.Request) {
	if s.phase.leaving() || s.crowded() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
}

// write gives a request its answer. What is left of its body is passed over behind that: a client that sends all before
// it reads would not find the answer on a connection that was closed under it.
func (s *server) write(w http.ResponseWriter, r *http.Request, c *call, a answer) {
	s.closing(w, r)
	if a.verdict == served {
		s.pass(w, r, c, a.content)
		return
	}
	rest := c.message.body.rest
	if rest != nil {
		rest.close()
		if _, err := rest.state(); err != nil { // there is no request to refuse
			turnAway(w, brokenBody(err))
			return
		}
		w.Header().Set("Connection", "close")
		http.NewResponseController(w).EnableFullDuplex()
	}
	h := w.Header()
	h["Content-Type"] = nil // do not guess
	h.Set("Content-Length", "0")
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	}
	status, result := http.StatusBadGateway, metrics.Failed
	switch a.verdict {
	case refused:
		status, result = http.StatusServiceUnavailable, metrics.Rejected
	case duplicate:
		status = http.StatusConflict
	}
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	s.metrics.Answered(c.class, result)
	if rest != nil {
		control.Flush()
		io.Copy(io.Discard, rest.from)
	}
}

// pass passes on what a backend made, as it comes. What breaks off must not look whole: the connection is cut.
func (s *server) pass(w http.ResponseWriter, r *http.Request, c *call, from *content) {
	defer from.pipe.Close()
	stop := context.AfterFunc(r.Context(), from.pipe.Close)
	defer stop()
	held, whole := from.pipe.Whole()
	if whole {
		from.length = int64(held)
	}
	h := w.Header()
	if from.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(from.length, 10))
	}
	h["Content-Type"] = nil // do not guess
	if from.kind != "" {
		h.Set("Content-Type", from.kind)
	}
	w.WriteHeader(http.StatusOK)
	out := &outflow{ResponseWriter: w, control: http.NewResponseController(w), flush: !whole}
	if _, err := from.pipe.WriteTo(out); err != nil {
		s.metrics.Answered(c.class, metrics.Failed)
		panic(http.ErrAbortHandler)
	}
	s.metrics.Answered(c.class, metrics.Completed)
}

// outflow writes to a client for as long as it reads.
type outflow struct {
	http.ResponseWriter
	control *http.ResponseController
	flush   bool // each piece, as the next may take its time
}

func (o *outflow) Write(p []byte) (int, error) {
	if err := o.control.SetWriteDeadline(time.Now().Add(clientStall)); err != nil {
		return 0, err
	}
	n, err := o.ResponseWriter.Write(p)
	if err == nil && o.flush {
		err = o.control.Flush()
	}
	return n, err
}
