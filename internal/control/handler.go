package control

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Agent is the agent that operators control. Its methods must not block and must be safe for concurrent use.
type Agent interface {
	// Ready reports whether the agent accepts clients.
	Ready() bool
	// Drain moves clients to other agents until Activate is called: Ready reports false and connections of clients are closed, while
	// requests that still arrive are served. Both return an error while the agent is shutting down.
	Drain() error
	Activate() error
}

// newHandler returns the HTTP handler for operators. GET /v1/metrics returns the JSON that metrics marshals to.
func newHandler(agent Agent, metrics json.Marshaler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", readiness(agent))
	mux.HandleFunc("GET /v1/metrics", serveMetrics(metrics))
	mux.HandleFunc("POST /v1/agent/drain", phaseChange(agent.Drain))
	mux.HandleFunc("POST /v1/agent/activate", phaseChange(agent.Activate))
	return mux
}

func readiness(agent Agent) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !agent.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}
}

func serveMetrics(metrics json.Marshaler) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		data, err := metrics.MarshalJSON()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(data)
	}
}

// phaseChange returns a handler that changes the phase of the agent. It responds with 409 if the phase can no longer be changed.
func phaseChange(change func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := change(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		fmt.Fprintln(w, "ok")
	}
}
