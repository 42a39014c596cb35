package http

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/core"
	"ryeweir/internal/httpmsg"
	"ryeweir/logic"
)

// Request headers that the agent reads, in net/http's canonical form.
const (
	requestIDHeader = "X-Request-Id"
	keyHeader       = "Idempotency-Key"
	tenantHeader    = "X-Tenant-Id"
	routeKeyHeader  = "X-Route-Key"
	retriedHeader   = "X-Retried"
)

// firstValue returns the first value of a header, or "" if the header is absent. The name must be in canonical form.
func firstValue(h http.Header, name string) string {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// classify returns the index of the class named by the first element of the path, or -1 if there is no such class.
func (s *Server) classify(r *http.Request) int {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return slices.IndexFunc(s.Site.Logic.Classes, func(c logic.Class) bool { return c.Name == name })
}

// read validates a request and receives its body as far as it is buffered. err is always an invalidError. On success the body's
// buffers stay in use until release is called; it must be called exactly once, by the caller or by the core.
func (s *Server) read(w http.ResponseWriter, r *http.Request, class int) (call *core.Call, release func(), err error) {
	settings := &s.Site.Logic.Classes[class]
	if err := validateHead(r, settings); err != nil {
		return nil, nil, err
	}
	timeout, err := parseTimeout(firstValue(r.Header, httpmsg.TimeoutHeader), settings.Timeout)
	if err != nil {
		return nil, nil, err
	}
	tenant := slices.Index(s.Site.Tenants, firstValue(r.Header, tenantHeader))
	if tenant < 0 && len(s.Site.Tenants) > 0 {
		return nil, nil, badRequest("unknown tenant")
	}
	body, release, err := s.receiveBody(w, r)
	if err != nil {
		return nil, nil, bodyError(err)
	}
	if settings.Idempotency == logic.Idempotent && body.Length != 0 {
		release()
		return nil, nil, errGetWithBody
	}
	call = newCall(r, settings, timeout)
	call.Class, call.Tenant = class, tenant
	call.BodyPending = body.Remainder != nil
	call.Message = &httpmsg.Message{Head: appendHead(nil, r, &body), Body: body}
	return call, release, nil
}

// receiveBody receives the body as far as it is buffered. The body must arrive at a minimum rate even if the client states a long
// timeout, because that timeout starts only when the body has been received.
func (s *Server) receiveBody(w http.ResponseWriter, r *http.Request) (body httpmsg.Body, release func(), err error) {
	if r.ContentLength == 0 {
		return httpmsg.Body{}, func() {}, nil
	}
	upload := &httpmsg.Upload{
		Source:          r.Body,
		SetReadDeadline: http.NewResponseController(w).SetReadDeadline,
		Length:          r.ContentLength,
		ArrivedAt:       time.Now().Add(-connlimit.WaitedUnread(r.Context())),
	}
	return httpmsg.ReceiveBody(r, upload, s.BodyBudget)
}

// newCall returns the call for a request. The caller sets its Class, Tenant, BodyPending and Message.
func newCall(r *http.Request, class *logic.Class, timeout time.Duration) *core.Call {
	margin := min(deadlineMargin, timeout/4)
	call := &core.Call{
		ID:               firstValue(r.Header, requestIDHeader),
		Key:              firstValue(r.Header, routeKeyHeader),
		Timeout:          timeout - margin,
		TimeoutSlack:     margin,
		LatencyObjective: class.LatencyObjective,
		RepeatRestricted: class.Idempotency != logic.Idempotent,
	}
	if class.Idempotency == logic.IdempotentWithKey {
		call.IdempotencyWindow = class.IdempotencyWindow
	}
	return call
}
