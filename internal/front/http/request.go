package http

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/framing"
	"ryeweir/internal/httpmsg"
	"ryeweir/logic"
)

// The headers of a request that the agent reads, in the form in which net/http keeps them.
const (
	requestIDHeader = "X-Request-Id"
	keyHeader       = "Idempotency-Key"
	tenantHeader    = "X-Tenant-Id"
	routeKeyHeader  = "X-Route-Key"
	retriedHeader   = "X-Retried"
	longestID       = 128
)

// passedOn are the headers that go on to a backend. All others concern the agent or nobody: what a client puts in them
// must not change how a backend reads the message.
var passedOn = [...]string{requestIDHeader, keyHeader, tenantHeader, routeKeyHeader, retriedHeader, "X-Cost", "X-Attrs", "Content-Type"}

// first is the first value of a header whose name has that form.
func first(h http.Header, name string) string {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// badRequest is a request that is answered with a plain 4xx and never forwarded.
type badRequest struct {
	status int
	text   string
}

func (e badRequest) Error() string { return e.text }

// errNotWhole is a request that never came whole, so that it was never taken.
var errNotWhole = badRequest{http.StatusBadRequest, "the body is not whole"}

// brokenBody is what a client is told of a body that could not be read.
func brokenBody(err error) badRequest {
	if errors.Is(err, httpmsg.ErrBodyTooLarge) {
		return badRequest{http.StatusRequestEntityTooLarge, err.Error()}
	}
	return errNotWhole
}

// class is the index of a request's class, or -1.
func (s *Server) class(r *http.Request) int {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return slices.IndexFunc(s.Site.Logic.Classes, func(c logic.Class) bool { return c.Name == name })
}

// accept reads a request and checks it: the head, and as much of the body as is held. The body must come in at a pace,
// whatever time-out the client states; that runs from the body's end. release gives back what holds the body.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, index int) (c *core.Call, m *httpmsg.Message, release func(), err error) {
	class := s.Site.Logic.Classes[index]
	if err := checkForm(r, class); err != nil {
		return nil, nil, nil, err
	}
	timeout, err := parseTimeout(first(r.Header, httpmsg.TimeoutHeader), class.Timeout)
	if err != nil {
		return nil, nil, nil, err
	}
	tenant := slices.Index(s.Site.Tenants, first(r.Header, tenantHeader))
	if tenant < 0 && len(s.Site.Tenants) > 0 {
		return nil, nil, nil, badRequest{http.StatusBadRequest, "unknown tenant"}
	}
	body, release := httpmsg.Body{}, func() {}
	if r.ContentLength != 0 {
		in := &httpmsg.Upload{Source: r.Body, SetReadDeadline: http.NewResponseController(w).SetReadDeadline, StartedAt: time.Now()}
		if body, release, err = httpmsg.ReceiveBody(r, in, s.BodyBudget); err != nil {
			return nil, nil, nil, brokenBody(err)
		}
	}
	if class.Idempotency == logic.Idempotent && body.Length != 0 {
		release()
		return nil, nil, nil, badRequest{http.StatusBadRequest, "a GET has no body"}
	}
	margin := min(deadlineMargin, timeout/4)
	m = &httpmsg.Message{Head: appendHead(nil, r, &body), Body: body}
	c = &core.Call{
		ID: first(r.Header, requestIDHeader), Class: index, Tenant: tenant, Key: first(r.Header, routeKeyHeader),
		Timeout:          timeout - margin,
		TimeoutSlack:     margin,
		LatencyObjective: class.LatencyObjective,
		BodyPending:      body.Remainder != nil,
		NonIdempotent:    class.Idempotency != logic.Idempotent,
		Message:          m,
	}
	if class.Idempotency == logic.IdempotentWithKey {
		c.IdempotencyWindow = class.IdempotencyWindow
	}
	return c, m, release, nil
}

// checkForm checks what does not depend on the body.
func checkForm(r *http.Request, class logic.Class) error {
	// Beside a length, chunks may hide a second request in what the length makes the body.
	if framing.Ambiguous(r.Context()) {
		return badRequest{http.StatusBadRequest, "a length beside a transfer encoding"}
	}
	if r.ContentLength > httpmsg.MaxBodyBytes {
		return badRequest{http.StatusRequestEntityTooLarge, httpmsg.ErrBodyTooLarge.Error()}
	}
	if strings.ContainsFunc(r.Host, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		return badRequest{http.StatusBadRequest, "malformed Host"}
	}
	want := http.MethodPost
	if class.Idempotency == logic.Idempotent {
		want = http.MethodGet
	}
	if r.Method != want {
		return badRequest{http.StatusMethodNotAllowed, "the method does not fit the class"}
	}
	if want == http.MethodGet && r.ContentLength > 0 {
		return badRequest{http.StatusBadRequest, "a GET has no body"}
	}
	for _, name := range [...]string{requestIDHeader, keyHeader, httpmsg.TimeoutHeader} {
		if len(r.Header[name]) > 1 {
			return badRequest{http.StatusBadRequest, name + " is there more than once"}
		}
	}
	if id := first(r.Header, requestIDHeader); id == "" || len(id) > longestID {
		return badRequest{http.StatusBadRequest, requestIDHeader + " is missing or too long"}
	}
	if class.Idempotency == logic.IdempotentWithKey && first(r.Header, keyHeader) == "" {
		// The backends could not tell a repeat, so it must not be sent as one of this class.
		return badRequest{http.StatusBadRequest, keyHeader + " is missing"}
	}
	return nil
}

// parseTimeout reads a number and a unit, m for milliseconds or u for microseconds. A client's whole patience is its
// class's deadline: what it states beyond that is cut, as it would hold memory and timers for as long.
func parseTimeout(text string, most time.Duration) (time.Duration, error) {
	bad := badRequest{http.StatusBadRequest, httpmsg.TimeoutHeader + " is missing or malformed"}
	number, unit := strings.TrimSuffix(text, "m"), time.Millisecond
	if number == text {
		number, unit = strings.TrimSuffix(text, "u"), time.Microsecond
	}
	whole, part, fraction := strings.Cut(number, ".")
	if number == text || !digits(whole) || fraction && !digits(part) {
		return 0, bad
	}
	x, err := strconv.ParseFloat(number, 64)
	if err != nil || x <= 0 {
		return 0, bad
	}
	return time.Duration(min(x*float64(unit), float64(most))), nil
}

// digits reports whether the text is a number of up to twelve digits and nothing else.
func digits(text string) bool {
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(text) >= 1 && len(text) <= 12
}

// appendHead appends the request as it goes on to a server: its line and headers, but for the time-out and the empty line.
// net/http has checked that no part of them holds an end of a line.
func appendHead(b []byte, r *http.Request, body *httpmsg.Body) []byte {
	uri := r.RequestURI // as it came: net/url would write some characters in another way
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	b = slices.Grow(b, 256+len(uri))
	b = append(append(b, r.Method...), ' ')
	b = append(append(b, uri...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, r.Host...), "\r\n"...)
	for _, name := range passedOn {
		for _, value := range r.Header[name] {
			b = append(append(b, name...), ": "...)
			b = append(append(b, value...), "\r\n"...)
		}
	}
	switch {
	case body.Length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case body.Length > 0 || r.Method == http.MethodPost:
		b = append(b, "Content-Length: "...)
		b = append(strconv.AppendInt(b, body.Length, 10), "\r\n"...)
	}
	return b
}
