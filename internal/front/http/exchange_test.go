package http

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A request above the in-flight limit is shed at once. Without this limit the process would run out of file descriptors, and no
// request would be answered.
func TestRequestOverTheLimitIsShedAtOnce(t *testing.T) {
	s, r := newServer(t, http.MethodGet, "/form-check", "")
	s.maxInFlight.Store(1)
	s.inFlight.Store(1)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "1" {
		t.Errorf("status %d, headers %v", w.Code, w.Header())
	}
	if s.inFlight.Load() != 1 {
		t.Errorf("%d requests are in flight, want 1", s.inFlight.Load())
	}
}

// The buffers of a body are released exactly once when its request ends, whether the balancer rejects the request or it is shed
// above the in-flight limit.
func TestBodyBuffersAreReleasedOnce(t *testing.T) {
	for _, overLimit := range []bool{false, true} {
		s, r := newServer(t, http.MethodPost, "/refund-record", strings.Repeat("x", 9000))
		stopCore := startCore(t, s)
		if overLimit {
			s.inFlight.Store(s.maxInFlight.Load())
		}
		w := newRecorder()
		s.ServeHTTP(w, r)
		stopCore()
		if left := s.BodyBudget.Reserve(2 * bodyBudget); w.Code != http.StatusServiceUnavailable || left != bodyBudget {
			t.Errorf("over the limit: %v, status %d, %d bytes of the body budget free", overLimit, w.Code, left)
		}
	}
}

// An attempt may read the last byte of a long body at the moment when its request ends in another goroutine. The request must
// count as pending from its last byte to its end, at most once, and not at all if the byte is read after the end.
func TestReceiptCountsOnce(t *testing.T) {
	for name, c := range map[string]struct{ before, after, counted bool }{
		"received, then finished": {true, false, true},
		"finished, then received": {false, true, false},
		"received twice":          {true, true, true},
		"never received":          {},
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
			t.Errorf("%s: %d pending at the end", name, pending)
		}
	}
}
