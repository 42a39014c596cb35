package http

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"ryeweir/internal/healthcheck"
	"ryeweir/internal/pool"
	"ryeweir/logic"
)

const (
	maxHealthCheckBody = 4 << 10 // bytes
	healthCheckHost    = "origin.svc"
)

// healthCheckRequests are the platform's two health check requests.
var healthCheckRequests = [...]string{
	healthcheck.LoadRequest:   "GET /status/load HTTP/1.1\r\nHost: " + healthCheckHost + "\r\n\r\n",
	healthcheck.HealthRequest: "GET /health HTTP/1.1\r\nHost: " + healthCheckHost + "\r\n\r\n",
}

// HealthCheck implements healthcheck.Transport over connections that requests do not need. If the endpoint closed a reused connection
// as the health check was on its way, it is repeated once, as that is no evidence of its health.
func (u *Upstream) HealthCheck(ctx context.Context, target any, kind healthcheck.RequestKind, deadline time.Time) healthcheck.Response {
	endpoint, _ := target.(*pool.Endpoint)
	if endpoint == nil {
		return noResponse(logic.NotSent)
	}
	response, release := u.tryHealthCheck(ctx, endpoint, kind, deadline)
	if release == pool.ClosedByServer {
		response, _ = u.tryHealthCheck(ctx, endpoint, kind, deadline)
	}
	return response
}

func noResponse(result logic.Result) healthcheck.Response {
	return healthcheck.Response{Result: result, LoadReport: logic.NoLoadReport}
}

// tryHealthCheck makes one health check, and returns how it left its connection.
func (u *Upstream) tryHealthCheck(ctx context.Context, endpoint *pool.Endpoint, kind healthcheck.RequestKind, deadline time.Time) (healthcheck.Response, pool.ReleaseOutcome) {
	conn, err := u.Pool.GetLowPriority(ctx, endpoint, deadline)
	if err != nil {
		return noResponse(connectFailure(err)), pool.Unused
	}
	if accepts, _ := u.Pool.AcceptsRequests(endpoint); !accepts { // it began to drain during the handshake
		u.Pool.Put(conn, pool.Unused)
		return noResponse(logic.NotSent), pool.Unused
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	response, release := u.exchangeHealthCheck(conn, kind, deadline)
	if !stop() && release == pool.Reusable {
		release = pool.MustClose // the deadline may be set at any time from now on
	}
	u.Pool.Put(conn, release)
	return response, release
}

// exchangeHealthCheck writes the request and reads the response.
func (u *Upstream) exchangeHealthCheck(conn *pool.Conn, kind healthcheck.RequestKind, deadline time.Time) (healthcheck.Response, pool.ReleaseOutcome) {
	state := conn.State.(*connState)
	state.startExchange(func(time.Time) time.Time { return deadline })
	head, body, err := state.roundTripHealthCheck(conn, kind, deadline)
	if err != nil {
		return noResponse(failureResult(err)), state.releaseAfterFailure(conn, err)
	}
	response := u.interpretHealthCheck(head, body, kind)
	if len(body) > maxHealthCheckBody || state.reader.Buffered() > 0 {
		return response, pool.Broken
	}
	return response, releaseAfterResponse(head, nil)
}

// roundTripHealthCheck returns the head of the response and at most one byte more of its body than maxHealthCheckBody.
func (s *connState) roundTripHealthCheck(conn *pool.Conn, kind healthcheck.RequestKind, deadline time.Time) (*http.Response, []byte, error) {
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return nil, nil, err
	}
	if _, err := io.WriteString(conn, healthCheckRequests[kind]); err != nil {
		return nil, nil, err
	}
	head, err := s.readHead()
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(head.Body, maxHealthCheckBody+1))
	return head, body, err
}

// interpretHealthCheck is what a complete response says of the endpoint.
func (u *Upstream) interpretHealthCheck(head *http.Response, body []byte, kind healthcheck.RequestKind) healthcheck.Response {
	switch head.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		response := noResponse(logic.Failed)
		response.Unsupported = true
		return response
	case http.StatusServiceUnavailable:
		return noResponse(logic.Rejected)
	default:
		return noResponse(logic.Failed)
	}
	response := noResponse(logic.OK)
	if text := strings.TrimSpace(string(body)); kind == healthcheck.LoadRequest && text != "" {
		response.LoadReport = u.readLoadReport([]string{text})
	}
	return response
}
