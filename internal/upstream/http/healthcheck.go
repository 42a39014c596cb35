package http

import (
	"context"
	"fmt"
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

// healthCheckRequests are the two health check requests that the platform defines.
var healthCheckRequests = [...]string{
	healthcheck.LoadRequest:   "GET /status/load HTTP/1.1\r\nHost: " + healthCheckHost + "\r\n\r\n",
	healthcheck.HealthRequest: "GET /health HTTP/1.1\r\nHost: " + healthCheckHost + "\r\n\r\n",
}

// HealthCheck implements healthcheck.Transport. It uses connections that no request needs. If the endpoint closes a reused
// connection while the health check is in transit, the check is repeated once, because that close says nothing about the endpoint's
// health.
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

// tryHealthCheck makes one health check. It also returns in which state the check left its connection.
func (u *Upstream) tryHealthCheck(ctx context.Context, endpoint *pool.Endpoint, kind healthcheck.RequestKind, deadline time.Time) (healthcheck.Response, pool.ReleaseOutcome) {
	conn, err := u.Pool.GetLowPriority(ctx, endpoint, deadline)
	if err != nil {
		return noResponse(connectFailure(err)), pool.Unused
	}
	if accepts, _ := u.Pool.AcceptsRequests(endpoint); !accepts { // the endpoint started to drain during the handshake
		u.Pool.Put(conn, pool.Unused)
		return noResponse(logic.NotSent), pool.Unused
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	response, release := u.exchangeHealthCheck(conn, kind, deadline)
	if !stop() && release == pool.Reusable {
		release = pool.MustClose // the AfterFunc may still set the deadline
	}
	u.Pool.Put(conn, release)
	return response, release
}

// exchangeHealthCheck writes the request and interprets the response.
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

// roundTripHealthCheck writes the request and returns the head of the response and up to maxHealthCheckBody+1 bytes of its body.
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

// errReportTooLong means that the body of a health check, with its load report, is over maxHealthCheckBody.
var errReportTooLong = fmt.Errorf("the load report of a health check is over %d bytes", maxHealthCheckBody)

// interpretHealthCheck returns what a response says about the endpoint. Of a body over maxHealthCheckBody only the beginning has been read,
// which is no report.
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
	if kind != healthcheck.LoadRequest {
		return response
	}
	if len(body) > maxHealthCheckBody {
		u.OnMalformedReport(errReportTooLong)
		return response
	}
	if text := strings.TrimSpace(string(body)); text != "" {
		response.LoadReport = u.readLoadReport([]string{text})
	}
	return response
}
