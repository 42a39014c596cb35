package http

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/framing"
)

// Server is the HTTP server for clients.
type Server struct {
	Config
	maxInFlight    atomic.Int64 // requests; more are shed
	maxConnections atomic.Int64 // open client connections
	inFlight       atomic.Int64
	lifecycle      lifecycle
	accepting      atomic.Bool                        // client connections are being accepted
	clients        atomic.Pointer[connlimit.Listener] // the listener in use; nil before Serve
}

// New returns a server. It does not accept connections until Serve is called.
func New(cfg Config) *Server {
	s := &Server{Config: cfg, lifecycle: newLifecycle()}
	s.SetLimits(cfg.MaxConnections, cfg.MaxInFlight)
	return s
}

// SetLimits sets the limits on open client connections and on requests in flight. Connections over a lower limit stay open until the next one
// is accepted.
func (s *Server) SetLimits(connections, inFlight int) {
	maxInFlight := int64(inFlight)
	if site := int64(s.Site.MaxOpenRequests); site > 0 {
		maxInFlight = min(maxInFlight, site)
	}
	s.maxInFlight.Store(maxInFlight)
	s.maxConnections.Store(int64(connections))
	if clients := s.clients.Load(); clients != nil {
		clients.SetMaxConnections(connections)
	}
}

// nearLimit reports whether so many connections are open that answers close theirs.
func (s *Server) nearLimit() bool {
	clients := s.clients.Load()
	return clients != nil && clients.NearLimit()
}

// httpServer returns a net/http server that uses s as its handler.
func (s *Server) httpServer() *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.Log.Handler(), slog.LevelWarn),
		ConnState:         connlimit.ConnState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return framing.ConnContext(connlimit.ConnContext(ctx, c), c)
		},
	}
}

// ServeHTTP processes a request in the steps that the package comment lists.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == readinessPath {
		s.setConnectionHeader(r.Context(), w)
		s.writeReadiness(w)
		return
	}
	class := s.classify(r)
	if class < 0 {
		writeInvalid(w, errUnknownClass)
		return
	}
	if r.ContentLength != 0 && s.inFlight.Load() >= s.maxInFlight.Load() {
		s.shedUnread(w, r, class)
		return
	}
	call, release, err := s.read(w, r, class)
	if err != nil {
		s.answerInvalid(w, r, class, err)
		return
	}
	newExchange(s, w, r, call, release).run()
}

// setConnectionHeader makes the answer that is about to be written close its connection if the server is draining or shutting
// down, the number of connections is near the limit, or the start of the next request on the connection is unknown.
func (s *Server) setConnectionHeader(ctx context.Context, w http.ResponseWriter) {
	if s.lifecycle.draining() || s.nearLimit() || framing.Desynchronized(ctx) || connlimit.InputDiscarded(ctx) {
		w.Header().Set("Connection", "close")
	}
}
