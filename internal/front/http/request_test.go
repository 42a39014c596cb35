package http

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A call ends early enough for its answer to arrive before the client's deadline, also when that deadline is only milliseconds
// away.
func TestDeadlineLeavesAMarginForTheAnswer(t *testing.T) {
	for text, timeout := range map[string]time.Duration{"2000m": 2 * time.Second, "8m": 8 * time.Millisecond} {
		s, r := newServer(t, http.MethodGet, "/form-check", "")
		r.Header.Set("X-Timeout", text)
		call, _, err := s.read(httptest.NewRecorder(), r, s.classify(r))
		if err != nil {
			t.Fatal(err)
		}
		if call.Timeout >= timeout || call.Timeout < timeout-timeout/4 {
			t.Errorf("%s: the call's timeout is %v", text, call.Timeout)
		}
	}
}

// A Host with a space, a line break or a control character is rejected. Otherwise a client could use it to add headers of its own
// to the forwarded request.
func TestMalformedHostIsRejected(t *testing.T) {
	for _, host := range []string{"a b", "a\r\nX: y", "a\x00", "a\x7f"} {
		s, r := newServer(t, http.MethodGet, "/form-check", "")
		r.Host = host
		if _, _, err := s.read(httptest.NewRecorder(), r, s.classify(r)); err == nil {
			t.Errorf("Host %q is accepted", host)
		}
	}
}

func TestParseTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"480m":          480 * time.Millisecond,
		"1500u":         1500 * time.Microsecond,
		"0.5m":          500 * time.Microsecond,
		"999999999999m": time.Second,
	} {
		if got, err := parseTimeout(text, time.Second); err != nil || got != want {
			t.Errorf("%s: %v, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "m", "0m", "-5m", "+5m", "5", "5s", "1e3m", "0x10m", "infm", "NaNm", "5.m", ".5m", "1_0m",
		" 5m", "9999999999999m"} {
		if got, err := parseTimeout(text, time.Second); err == nil {
			t.Errorf("%q is parsed as %v, want an error", text, got)
		}
	}
}
