package event

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
)

// Each event is counted by kind and reason. At level debug it is also logged, with the id of the request.
func TestRecordCountsAndLogsAtDebugLevel(t *testing.T) {
	for _, level := range []slog.Level{slog.LevelInfo, slog.LevelDebug} {
		var out strings.Builder
		r := NewRecorder(slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: level})))
		r.Record(Event{Kind: AttemptDecided, Reason: RetryAttempt, Request: "4f2a", Attempt: 1, Endpoint: "s-1"})
		r.Record(Event{Kind: AttemptDecided, Reason: RetryAttempt, Request: "4f2b"})
		r.Record(Event{Kind: ConnectionClosed, Reason: IdleTimeout, Connection: r.NextConnectionID()})
		if n := r.Count(AttemptDecided, RetryAttempt); n != 2 {
			t.Errorf("counted %d events, want 2", n)
		}
		data, err := json.Marshal(r)
		if want := `{"attempt_decided":{"retry":2},"connection_closed":{"idle_timeout":1}}`; err != nil || string(data) != want {
			t.Errorf("JSON %s, error %v", data, err)
		}
		line := "msg=attempt_decided reason=retry request=4f2a server=s-1 attempt=1"
		if got := strings.Contains(out.String(), line); got != (level == slog.LevelDebug) {
			t.Errorf("level %v: the log is %q", level, out.String())
		}
		if got := strings.Contains(out.String(), "msg=connection_closed reason=idle_timeout connection=1"); got != (level == slog.LevelDebug) {
			t.Errorf("level %v: the log is %q", level, out.String())
		}
	}
}

// Parts of the agent that run without a recorder call methods of a nil one.
func TestNilRecorderRecordsNothing(t *testing.T) {
	var r *Recorder
	r.Record(Event{})
	if r.NextConnectionID() != 0 || r.Count(RequestRead, None) != 0 || r.Verbose() {
		t.Error("a nil recorder recorded something")
	}
}
