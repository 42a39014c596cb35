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
	maxInFlight int64 // requests; more are shed
	inFlight    atomic.Int64
	lifecycle   lifecycle
	accepting   atomic.Bool // client connections are being accepted
	nearLimit   func() bool // reports whether so many connections are open that answers close theirs
}

// New returns a server. It does not accept connections until Serve is called.
func New(cfg Config) *Server {
	maxInFlight := int64(MaxInFlightFraction * float64(cfg.MaxConnections))
	if limit := int64(cfg.Site.MaxOpenRequests); limit > 0 {
		maxInFlight = min(maxInFlight, limit)
	}
	return &Server{
		Config:      cfg,
		maxInFlight: maxInFlight,
		lifecycle:   newLifecycle(),
		nearLimit:   func() bool { return false },
	}
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
	if s.lifecycle.draining() || s.nearLimit() || framing.Desynchronized(ctx) {
		w.Header().Set("Connection", "close")
	}
}
