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

// Server is the side of the agent that faces the clients.
type Server struct {
	Config
	maxInFlight int64 // requests
	inFlight    atomic.Int64
	lifecycle   lifecycle
	accepting   atomic.Bool // clients' connections are being accepted
	nearLimit   func() bool // so many connections are open that answers close theirs
}

// New returns a server that does not serve yet.
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

// httpServer returns the net/http server whose handler s is.
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

// ServeHTTP gives a request its one answer, in the steps that the package comment names.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == readinessPath {
		s.closeUnwantedConnection(r.Context(), w)
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

// closeUnwantedConnection has the answer that is about to be written close its connection, where the agent wants its clients
// elsewhere, has many connections, or can't tell where the next request begins.
func (s *Server) closeUnwantedConnection(ctx context.Context, w http.ResponseWriter) {
	if s.lifecycle.draining() || s.nearLimit() || framing.Desynchronized(ctx) {
		w.Header().Set("Connection", "close")
	}
}
