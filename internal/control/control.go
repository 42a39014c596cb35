// Package control serves the operators on an address of their own. No answer waits for what the agent is busy with, and
// callers that hold a connection can't keep others out.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"ryeweir/internal/acceptretry"
	"ryeweir/internal/connlimit"
)

// MaxDescriptors is how many descriptors the server may hold: its listener and its connections.
const MaxDescriptors = 1 + mostConns

const (
	mostConns   = 24
	headTimeout = 2 * time.Second // for a call's head: most callers need none of it
	callTimeout = 3 * time.Second // for the call and its answer
	maxHead     = 8 << 10
)

// Agent is what operators ask and steer. Its methods return at once.
type Agent interface {
	Ready() bool
	// Drain sends clients away until Activate. Both fail on an agent that is ending.
	Drain() error
	Activate() error
}

// Serve answers calls until the context ends. The figures are given as JSON.
func Serve(ctx context.Context, l net.Listener, a Agent, figures json.Marshaler, log *slog.Logger) error {
	conns := connlimit.New(acceptretry.New(l, log, nil), mostConns)
	srv := &http.Server{
		Handler:           handler(a, figures),
		ReadHeaderTimeout: headTimeout,
		ReadTimeout:       callTimeout,
		WriteTimeout:      callTimeout,
		MaxHeaderBytes:    maxHead,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState:         connlimit.ConnState,
		ConnContext:       connlimit.ConnContext,
	}
	srv.SetKeepAlivesEnabled(false) // one call a connection
	stopped := context.AfterFunc(ctx, func() { srv.Close() })
	defer stopped()
	if err := srv.Serve(conns); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving operators: %w", err)
	}
	return nil
}

func handler(a Agent, figures json.Marshaler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !a.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /v1/metrics", func(w http.ResponseWriter, _ *http.Request) {
		data, err := figures.MarshalJSON()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(data)
	})
	steer := func(change func() error) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if err := change(); err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
				return
			}
			fmt.Fprintln(w, "ok")
		}
	}
	mux.HandleFunc("POST /v1/agent/drain", steer(a.Drain))
	mux.HandleFunc("POST /v1/agent/activate", steer(a.Activate))
	return mux
}
