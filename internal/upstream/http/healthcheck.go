package http

import (
	"context"
	"errors"
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
	state.startExchange(func(time.Time) time.Time { return deadline }, func() {})
	head, body, err := state.roundTripHealthCheck(conn, kind, deadline)
	if err != nil {
		return noResponse(failureResult(err)), state.releaseAfterFailure(conn, err)
	}
	response := u.interpretHealthCheck(head, body, kind)
	if body.err != nil || state.reader.Buffered() > 0 {
		return response, pool.Broken
	}
	return response, releaseAfterResponse(head, nil)
}

// reportBody is the body of the response to a health check. err says why it is no load report, though the head tells of the endpoint's health.
type reportBody struct {
	text string
	err  error
}

// errReportTooLong means that the body of a health check, with its load report, is over maxHealthCheckBody.
var errReportTooLong = fmt.Errorf("the load report of a health check is over %d bytes", maxHealthCheckBody)

// readReport reads the body of the response to a health check. It returns an error if the body does not come to an end.
//
// Failure: of a body that is over maxHealthCheckBody or longer than its Content-Length only the beginning is read, and the figures of half a report
// would be believed.
func readReport(body io.Reader) (reportBody, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxHealthCheckBody+1))
	switch {
	case errors.Is(err, errBodyTooLong):
		return reportBody{err: err}, nil
	case err != nil:
		return reportBody{}, err
	case len(text) > maxHealthCheckBody:
		return reportBody{err: errReportTooLong}, nil
	}
	return reportBody{text: strings.TrimSpace(string(text))}, nil
}

// roundTripHealthCheck writes the request and returns the head of the response and its body.
func (s *connState) roundTripHealthCheck(conn *pool.Conn, kind healthcheck.RequestKind, deadline time.Time) (*http.Response, reportBody, error) {
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return nil, reportBody{}, err
	}
	if _, err := io.WriteString(conn, healthCheckRequests[kind]); err != nil {
		return nil, reportBody{}, err
	}
	head, err := s.readHead()
	if err != nil {
		return nil, reportBody{}, err
	}
	body, err := readReport(head.Body)
	return head, body, err
}

// interpretHealthCheck returns what a response says about the endpoint.
func (u *Upstream) interpretHealthCheck(head *http.Response, body reportBody, kind healthcheck.RequestKind) healthcheck.Response {
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
	if body.err != nil {
		u.OnMalformedReport(body.err)
		return response
	}
	if body.text != "" {
		response.LoadReport = u.readLoadReport([]string{body.text})
	}
	return response
}
