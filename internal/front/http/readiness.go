package http

import (
	"io"
	"net/http"

	"ryeweir/internal/invariant"
)

// readinessPath is the path of the platform's readiness checks. They are no requests: they have no class, are never forwarded and
// are not counted.
const readinessPath = "/ready"

// Ready reports whether the agent takes clients: it accepts their connections, has an endpoint to send to, and does not drain.
func (s *Server) Ready() bool {
	return s.accepting.Load() && s.Core.Ready() && !s.lifecycle.draining()
}

// writeReadiness answers a readiness check.
func (s *Server) writeReadiness(w http.ResponseWriter) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	if !s.Core.HasEndpoints() {
		s.Monitor.Violated(invariant.ReadyWithoutEndpoint, "", "ready before the first endpoint list")
	}
	io.WriteString(w, "ready\n")
}
