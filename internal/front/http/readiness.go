package http

import (
	"io"
	"net/http"

	"ryeweir/internal/invariant"
)

// readinessPath is the path of the platform's readiness checks. A readiness check is not a request: it has no class, is never
// forwarded and is not counted.
const readinessPath = "/ready"

// Ready reports whether the agent can serve clients: it accepts connections, has an endpoint to send to, and is neither draining
// nor shutting down.
func (s *Server) Ready() bool {
	return s.accepting.Load() && s.Core.Ready() && !s.lifecycle.draining()
}

// writeReadiness writes the response to a readiness check.
func (s *Server) writeReadiness(w http.ResponseWriter) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	if !s.Core.HasEndpoints() {
		s.Monitor.Violated(invariant.ReadyWithoutEndpoint, "", "readiness check succeeded before the first endpoint list")
	}
	io.WriteString(w, "ready\n")
}
