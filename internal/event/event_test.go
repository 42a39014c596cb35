package event

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
)

// Each event is counted by kind and reason; at level debug it is a line of the log that names the request.
func TestRecord(t *testing.T) {
	for _, level := range []slog.Level{slog.LevelInfo, slog.LevelDebug} {
		var out strings.Builder
		r := NewRecorder(slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: level})))
		r.Record(Event{Kind: AttemptDecided, Reason: RetryAttempt, Request: "4f2a", Attempt: 1, Endpoint: "s-1"})
		r.Record(Event{Kind: AttemptDecided, Reason: RetryAttempt, Request: "4f2b"})
		r.Record(Event{Kind: ConnectionClosed, Reason: IdleTimeout, Connection: r.NextConnectionID()})
		if n := r.Count(AttemptDecided, RetryAttempt); n != 2 {
			t.Errorf("counted %d", n)
		}
		data, err := json.Marshal(r)
		if want := `{"attempt_decided":{"retry":2},"connection_closed":{"idle_timeout":1}}`; err != nil || string(data) != want {
			t.Errorf("%s, %v", data, err)
		}
		line := "msg=attempt_decided reason=retry request=4f2a server=s-1 attempt=1"
		if got := strings.Contains(out.String(), line); got != (level == slog.LevelDebug) {
			t.Errorf("%v: the log has %q", level, out.String())
		}
		if got := strings.Contains(out.String(), "msg=connection_closed reason=idle_timeout connection=1"); got != (level == slog.LevelDebug) {
			t.Errorf("%v: the log has %q", level, out.String())
		}
	}
}

// Every kind and every reason has a name of its own, which the log and the metrics are read by.
func TestNames(t *testing.T) {
	seen := map[string]bool{}
	for k := range Kind(kinds) {
		if k.String() == "" || seen[k.String()] {
			t.Errorf("kind %d is called %q", k, k)
		}
		seen[k.String()] = true
	}
	clear(seen)
	for r := range Reason(reasons) {
		if r.String() == "" || seen[r.String()] {
			t.Errorf("reason %d is called %q", r, r)
		}
		seen[r.String()] = true
	}
}

// Parts that run without a recorder record nothing.
func TestNilRecorder(t *testing.T) {
	var r *Recorder
	r.Record(Event{})
	if r.NextConnectionID() != 0 || r.Count(RequestRead, None) != 0 || r.Verbose() {
		t.Error("a nil recorder says something")
	}
}
