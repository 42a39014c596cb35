package http

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

	"ryeweir/internal/bodybuffer"
	"ryeweir/internal/connlimit"
	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/framing"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/invariant"
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
	drainSweep     = 250 * time.Millisecond  // how often a drain looks for those
	maxHeader      = 16 << 10
	heldRetry      = time.Second // the come-back time when too much is open
)

// MaxInFlightFraction is the part of the clients' connections that may hold a request; the rest can be told so at once.
const MaxInFlightFraction = 0.8

// Config is what a Server works with.
type Config struct {
	Site              wire.Site
	Core              *core.Core
	Clock             core.Clock
	Metrics           *metrics.Metrics
	BodyBudget        *bodybuffer.Budget // for the bodies of requests
	MaxConnections    int                // connections from clients that there may be
	AcceptWindow      time.Duration      // new connections are accepted for so long after the signal to end
	SocketBufferBytes int                // bytes of the kernel's buffer, each way and connection; 0: what it gives
	DrainTimeout      time.Duration      // answers that still flow may take so long after it; 0: what the platform allows
	Log               *slog.Logger
	Events            *event.Recorder    // what happens to requests and clients' connections; nil for nobody
	Monitor           *invariant.Monitor // counts broken rules; nil for nobody
}

// Server is the side that faces the clients.
type Server struct {
	Config
	mostHeld  int64 // requests open at a time
	held      atomic.Int64
	phase     phase
	accepting atomic.Bool // clients' connections are being accepted
	crowded   func() bool // so many connections are open that answers close theirs
}

// New returns a server that serves nobody yet.
func New(cfg Config) *Server {
	s := &Server{Config: cfg, phase: newPhase(), mostHeld: int64(MaxInFlightFraction * float64(cfg.MaxConnections)), crowded: func() bool { return false }}
	if cfg.Site.MaxOpenRequests > 0 {
		s.mostHeld = min(s.mostHeld, int64(cfg.Site.MaxOpenRequests))
	}
	return s
}

// httpServer returns the net/http server that s answers for.
func (s *Server) httpServer() *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       clientIdle,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(s.Log.Handler(), slog.LevelWarn),
		ConnState:         connlimit.ConnState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return framing.ConnContext(connlimit.ConnContext(ctx, c), c)
		},
	}
}

// ServeHTTP gives each request its one answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	c, m, release, err := s.accept(w, r, class)
	if err != nil {
		reason := event.UploadTruncated
		if !errors.Is(err, errNotWhole) { // else there was no request to answer
			s.Metrics.RequestAnswered(class, metrics.Failed)
			reason = event.Malformed
		}
		s.Events.Record(event.Event{Kind: event.RequestAnswered, Reason: reason, Request: first(r.Header, requestIDHeader),
			Connection: connlimit.ConnectionNumber(r.Context()), Detail: err.Error()})
		turnAway(w, err)
		return
	}
	ctx, left := context.WithCancel(r.Context())
	defer left()
	r = r.WithContext(ctx)
	var taken pending
	took := func() time.Duration {
		if taken.begin() {
			s.Metrics.RequestReceived()
			s.Events.Record(event.Event{Kind: event.RequestRead, Request: c.ID, Connection: connlimit.ConnectionNumber(ctx)})
		}
		return s.Clock.Now()
	}
	defer func() {
		if taken.end() {
			s.Metrics.RequestFinished()
		}
	}()
	rest := m.Body.Remainder
	connlimit.BeginRequest(ctx, c.ID)
	if rest == nil {
		c.Deadline = took() + c.Timeout
		if connlimit.OnDisconnect(ctx, left) {
			release()
			s.abandoned(ctx, c)
			panic(http.ErrAbortHandler) // nobody waits, and nothing was sent on
		}
	} else {
		rest.OnComplete = func() {
			s.Core.BodyReceived(c, took())
			if connlimit.OnDisconnect(ctx, left) {
				left()
			}
		}
	}
	defer s.held.Add(-1)
	if s.held.Add(1) > s.mostHeld { // nothing was sent yet, so a refusal's promise holds
		release()
		s.write(w, r, c, core.Answer{Verdict: core.Rejected, Reason: event.TooManyOpen, RetryAfter: heldRetry})
		return
	}
	c.Release = release // attempts may hold the body for longer than the client stays
	answers := s.Core.Submit(c)
	select {
	case a := <-answers:
		s.write(w, r, c, a)
	case <-r.Context().Done():
		if rest != nil && rest.Stopped() { // it ended with the read that was interrupted; the answer is on its way
			select {
			case a := <-answers:
				s.write(w, r, c, a)
			case <-s.Core.Done():
				s.write(w, r, c, core.Answer{Verdict: core.Failed, Reason: event.ShuttingDown})
			}
			return
		}
		s.Core.Abandon(c)
		if rest != nil {
			http.NewResponseController(w).SetReadDeadline(time.Now()) // for an attempt that reads from it
			rest.Close()
			if _, err := rest.State(); err != nil { // net/http ends the context also when a body stops
				s.answering(ctx, c, event.UploadTruncated)
				turnAway(w, brokenBody(err))
				return
			}
		}
		s.abandoned(ctx, c)
		panic(http.ErrAbortHandler) // a plain return would make net/http answer 200, which no backend said
	case <-s.Core.Done(): // never before the server has drained
		s.write(w, r, c, core.Answer{Verdict: core.Failed, Reason: event.ShuttingDown})
	}
}

// abandoned records that a request ends without an answer, as nobody waits for one.
func (s *Server) abandoned(ctx context.Context, c *core.Call) {
	reason := event.ConnectionBad
	if connlimit.ClientDisconnected(ctx) {
		reason = event.ClientClosed
	}
	s.Events.Record(event.Event{Kind: event.RequestAbandoned, Reason: reason, Request: c.ID, Connection: connlimit.ConnectionNumber(ctx)})
}

// answering records that the answer of a request has been decided on and is about to be written.
func (s *Server) answering(ctx context.Context, c *core.Call, reason event.Reason) {
	connlimit.BeginAnswer(ctx)
	s.Events.Record(event.Event{Kind: event.RequestAnswered, Reason: reason, Request: c.ID, Connection: connlimit.ConnectionNumber(ctx)})
}

// pending counts a request that was taken, once: the last byte of a long body may come as its request ends, in a goroutine of
// its own.
type pending struct{ state atomic.Int32 }

func (p *pending) begin() bool { return p.state.CompareAndSwap(0, 1) }

func (p *pending) end() bool { return p.state.Swap(2) == 1 }

// turnAway answers bad input. It closes the connection, as what comes behind may be a part of it.
func turnAway(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if bad, ok := errors.AsType[badRequest](err); ok {
		status = bad.status
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

func (s *Server) readiness(w http.ResponseWriter) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	if !s.Core.HasEndpoints() {
		s.Monitor.Violated(invariant.ReadyWithoutEndpoint, "", "readiness was told before any list of servers")
	}
	io.WriteString(w, "ready\n")
}

// Ready reports whether the agent takes clients: it accepts them and has a backend to send to.
func (s *Server) Ready() bool {
	return s.accepting.Load() && s.Core.Ready() && !s.phase.leaving()
}

// Drain sends clients away without ending the process: readiness says no, answers close their connections and idle ones
// are closed. Those who come all the same are served.
func (s *Server) Drain() error { return s.steer(draining, "draining for operators") }

// Activate ends a drain.
func (s *Server) Activate() error { return s.steer(serving, "taking clients for operators") }

func (s *Server) steer(to int32, text string) error {
	err := s.phase.move(to)
	s.Events.Record(event.Event{Kind: event.PhaseChanged, Detail: text})
	s.Log.Info(text, "error", err)
	return err
}

// closing lets the answer about to be written close its connection, where the agent wants clients off or has many. Nothing is
// read that the framing check has not followed.
func (s *Server) closing(w http.ResponseWriter, r *http.Request) {
	if s.phase.leaving() || s.crowded() || framing.Desynchronized(r.Context()) {
		w.Header().Set("Connection", "close")
	}
}

// write gives a request its answer. What is left of its body is passed over behind that: a client that sends all before
// it reads would not find the answer on a connection that was closed under it.
func (s *Server) write(w http.ResponseWriter, r *http.Request, c *core.Call, a core.Answer) {
	s.closing(w, r)
	if a.Verdict == core.Served {
		s.answering(r.Context(), c, event.Served)
		s.pass(w, r, c, a.Content.(*httpmsg.Content))
		return
	}
	rest := c.Message.(*httpmsg.Message).Body.Remainder
	if rest != nil {
		rest.Stop() // an attempt may wait for more of it
		rest.Close()
		if _, err := rest.State(); err != nil { // there is no request to refuse
			s.answering(r.Context(), c, event.UploadTruncated)
			turnAway(w, brokenBody(err))
			return
		}
		w.Header().Set("Connection", "close")
		http.NewResponseController(w).EnableFullDuplex()
	}
	h := w.Header()
	h["Content-Type"] = nil // do not guess
	h.Set("Content-Length", "0")
	if a.RetryAfter > 0 && a.Verdict == core.Rejected {
		h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
	}
	status, result := http.StatusBadGateway, metrics.Failed
	switch a.Verdict {
	case core.Rejected:
		status, result = http.StatusServiceUnavailable, metrics.Rejected
	case core.Duplicate:
		status = http.StatusConflict
	}
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(writeTimeout))
	s.answering(r.Context(), c, a.Reason)
	w.WriteHeader(status)
	s.Metrics.RequestAnswered(c.Class, result)
	if rest != nil {
		control.Flush()
		rest.Drain()
	}
}

// pass passes on what a backend made, as it comes. What breaks off must not look whole: the connection is cut.
func (s *Server) pass(w http.ResponseWriter, r *http.Request, c *core.Call, from *httpmsg.Content) {
	defer from.Pipe.Close()
	rest := c.Message.(*httpmsg.Message).Body.Remainder
	early := rest != nil && !rest.Complete() // the server did not wait for all of it
	held, whole := from.Pipe.Complete()
	if whole {
		from.Length = int64(held)
	} else if !early { // a client that leaves ends the wait for more
		stop := context.AfterFunc(r.Context(), from.Pipe.Close)
		defer stop()
	}
	h := w.Header()
	if from.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(from.Length, 10))
	}
	h["Content-Type"] = nil // do not guess
	if from.ContentType != "" {
		h.Set("Content-Type", from.ContentType)
	}
	if early {
		h.Set("Connection", "close")
		http.NewResponseController(w).EnableFullDuplex()
	}
	out := &outflow{ResponseWriter: w, control: http.NewResponseController(w), flush: !whole}
	_, err := from.Pipe.WriteTo(out)
	if err != nil && !out.begun && r.Context().Err() == nil { // nothing has been passed on: an answer is owed still
		h.Del("Content-Length")
		s.write(w, r, c, core.Answer{Verdict: core.Failed, Reason: event.AnswerTruncated})
		return
	}
	if err != nil {
		s.Metrics.RequestAnswered(c.Class, metrics.Failed)
		s.Events.Record(event.Event{Kind: event.RequestAbandoned, Reason: event.AnswerTruncated, Request: c.ID,
			Connection: connlimit.ConnectionNumber(r.Context()), Detail: err.Error()})
		connlimit.AnswerAborted(r.Context())
		if !r.ProtoAtLeast(1, 1) { // to which a plain close would be the end of the answer
			framing.ResetOnClose(r.Context())
		}
		panic(http.ErrAbortHandler)
	}
	out.begin()
	s.Metrics.RequestAnswered(c.Class, metrics.Completed)
	if early {
		out.control.Flush()
		rest.Drain()
	}
}

// outflow writes to a client for as long as it reads.
type outflow struct {
	http.ResponseWriter
	control *http.ResponseController
	flush   bool // each piece, as the next may take its time
	begun   bool // the head has been written
}

// begin writes the head, once.
func (o *outflow) begin() {
	if !o.begun {
		o.begun = true
		o.WriteHeader(http.StatusOK)
	}
}

func (o *outflow) Write(p []byte) (int, error) {
	if err := o.control.SetWriteDeadline(time.Now().Add(clientStall)); err != nil {
		return 0, err
	}
	o.begin()
	n, err := o.ResponseWriter.Write(p)
	if err == nil && o.flush {
		err = o.control.Flush()
	}
	return n, err
}
