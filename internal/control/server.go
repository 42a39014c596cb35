// Package control serves operators on a separate address: readiness, metrics, and draining the agent.
//
// Responses do not wait for other work of the agent. Callers that hold connections open cannot lock others out: connlimit limits the
// number of connections and evicts silent ones, and each connection carries a single call of limited duration.
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

// MaxDescriptors is the maximum number of file descriptors of the server: its listener and its connections.
const MaxDescriptors = 1 + maxConnections

const (
	maxConnections = 24
	headerTimeout  = 2 * time.Second // to read the request line and headers
	callTimeout    = 3 * time.Second // for the whole call, including its response
	maxHeaderBytes = 8 << 10
)

// Serve serves operators until the context is done, and closes the listener. GET /v1/metrics returns the JSON that metrics marshals to.
// A non-nil error means that serving has failed before the context was done.
func Serve(ctx context.Context, l net.Listener, agent Agent, metrics json.Marshaler, log *slog.Logger) error {
	connections := connlimit.New(acceptretry.New(l, log, nil), maxConnections)
	server := &http.Server{
		Handler:           newHandler(agent, metrics),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       callTimeout,
		WriteTimeout:      callTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState:         connlimit.ConnState,
		ConnContext:       connlimit.ConnContext,
	}
	server.SetKeepAlivesEnabled(false) // one call per connection
	stopClosing := context.AfterFunc(ctx, func() { server.Close() })
	defer stopClosing()
	if err := server.Serve(connections); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}
