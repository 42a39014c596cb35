package control

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Agent is what operators ask for and steer. Its methods return at once, and may be called by any goroutine.
type Agent interface {
	// Ready reports whether the agent takes clients.
	Ready() bool
	// Drain sends clients away until Activate. Both fail on an agent that shuts down.
	Drain() error
	Activate() error
}

// newHandler returns the handler of the operators' calls.
func newHandler(agent Agent, figures json.Marshaler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", readiness(agent))
	mux.HandleFunc("GET /v1/metrics", metrics(figures))
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

func metrics(figures json.Marshaler) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		data, err := figures.MarshalJSON()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(data)
	}
}

// phaseChange answers a change of the agent's phase, and 409 where that is not possible any more.
func phaseChange(change func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := change(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		fmt.Fprintln(w, "ok")
	}
}
