package http

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Too many requests are in flight. A new one is shed at once: past the limit on descriptors none would be answered at all.
func TestRequestOverTheLimitIsShedAtOnce(t *testing.T) {
	s, r := newServer(t, http.MethodGet, "/form-check", "")
	s.maxInFlight = 1
	s.inFlight.Store(1)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "1" {
		t.Errorf("%d %v", w.Code, w.Header())
	}
	if s.inFlight.Load() != 1 {
		t.Errorf("%d are in flight", s.inFlight.Load())
	}
}

// The buffers of a body are given back once, when its request is over: rejected by the decision module, or shed over the limit.
func TestBodyBuffersAreReleasedOnce(t *testing.T) {
	for _, overLimit := range []bool{false, true} {
		s, r := newServer(t, http.MethodPost, "/refund-record", strings.Repeat("x", 9000))
		stopCore := startCore(t, s)
		if overLimit {
			s.inFlight.Store(s.maxInFlight)
		}
		w := newRecorder()
		s.ServeHTTP(w, r)
		stopCore()
		if left := s.BodyBudget.Reserve(2 * bodyBudget); w.Code != http.StatusServiceUnavailable || left != bodyBudget {
			t.Errorf("over the limit %v: status %d, %d bytes of the budget left", overLimit, w.Code, left)
		}
	}
}

// The last byte of a long body may be read in the instant in which its request ends, in another goroutine. The request counts as
// pending from its last byte to its end, at most once, and not at all when that byte comes too late.
func TestReceiptCountsOnce(t *testing.T) {
	for name, c := range map[string]struct{ before, after, counted bool }{
		"received, then over": {true, false, true},
		"over, then received": {false, true, false},
		"received twice":      {true, true, true},
		"never received":      {},
	} {
		var r receipt
		pending := 0
		receive := func(happens bool) {
			if happens && r.receive() {
				pending++
			}
		}
		receive(c.before)
		if c.counted != (pending == 1) {
			t.Errorf("%s: %d pending", name, pending)
		}
		if r.finish() {
			pending--
		}
		receive(c.after)
		if r.finish() || pending != 0 {
			t.Errorf("%s: %d pending in the end", name, pending)
		}
	}
}
