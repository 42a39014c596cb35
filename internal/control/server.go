// Package control serves the operators on an address of their own: readiness, figures, and the drain of an agent.
//
// No answer waits for what the agent is busy with, and callers that hold a connection can't lock others out: connections are
// bounded by connlimit, which evicts the silent ones, and each carries one call of bounded duration.
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
const MaxDescriptors = 1 + maxConnections

const (
	maxConnections = 24
	headerTimeout  = 2 * time.Second // for the head of a call
	callTimeout    = 3 * time.Second // for the call and its answer
	maxHeaderBytes = 8 << 10
)

// Serve answers calls until the context ends. It closes the listener. figures are answered to GET /v1/metrics as JSON. The error
// says why operators could not be served any more.
func Serve(ctx context.Context, l net.Listener, agent Agent, figures json.Marshaler, log *slog.Logger) error {
	connections := connlimit.New(acceptretry.New(l, log, nil), maxConnections)
	server := &http.Server{
		Handler:           newHandler(agent, figures),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       callTimeout,
		WriteTimeout:      callTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState:         connlimit.ConnState,
		ConnContext:       connlimit.ConnContext,
	}
	server.SetKeepAlivesEnabled(false) // one call a connection
	stopClosing := context.AfterFunc(ctx, func() { server.Close() })
	defer stopClosing()
	if err := server.Serve(connections); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving operators: %w", err)
	}
	return nil
}
