package http

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"ryeweir/internal/healthcheck"
	"ryeweir/internal/pool"
	"ryeweir/logic"
)

// maxReport is the most that a probe's answer may hold.
const maxReport = 4 << 10

// The texts of the platform's two calls.
var probeText = [...]string{
	healthcheck.LoadRequest:   "GET /status/load HTTP/1.1\r\nHost: " + probeHost + "\r\n\r\n",
	healthcheck.HealthRequest: "GET /health HTTP/1.1\r\nHost: " + probeHost + "\r\n\r\n",
}

const probeHost = "origin.svc"

// HealthCheck makes a probe on a connection that attempts can spare. It implements healthcheck.Asker. A server that was closing a kept
// connection as the probe went out is asked once more on another, as that says nothing of it.
func (u *Upstream) HealthCheck(ctx context.Context, target any, kind healthcheck.RequestKind, until time.Time) healthcheck.Response {
	node, _ := target.(*pool.Endpoint)
	for again := false; ; again = true {
		out := healthcheck.Response{Result: logic.NotSent, LoadReport: logic.NoLoadReport}
		if node == nil {
			return out
		}
		c, err := u.Pool.GetLowPriority(ctx, node, until)
		takesNew, _ := u.Pool.AcceptsRequests(node) // it may have begun to drain during a handshake
		switch {
		case errors.Is(err, pool.ErrNotReady) || errors.Is(err, pool.ErrExhausted) || errors.Is(err, pool.ErrCanceled):
			return out
		case err != nil:
			out.Result = logic.ConnectFailed
			return out
		case !takesNew:
			u.Pool.Put(c, pool.Unused)
			return out
		}
		stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Now()) })
		how := u.probeOn(c, kind, until, &out)
		if !stop() && how == pool.Reusable {
			how = pool.MustClose // its deadline may be set at any time
		}
		u.Pool.Put(c, how)
		if how != pool.ClosedByServer || again {
			return out
		}
	}
}

// probeOn writes the call and reads its answer, and says how that leaves the connection.
func (u *Upstream) probeOn(c *pool.Conn, kind healthcheck.RequestKind, until time.Time, out *healthcheck.Response) pool.ReleaseOutcome {
	s := c.State.(*state)
	s.left.N = maxHead
	s.timed.latest, s.timed.limit = time.Time{}, func(time.Time) time.Time { return until }
	fail := func(err error) pool.ReleaseOutcome {
		out.Result = broken(err)
		return s.broke(c, err)
	}
	if err := c.SetWriteDeadline(until); err != nil {
		return fail(err)
	}
	if _, err := io.WriteString(c, probeText[kind]); err != nil {
		return fail(err)
	}
	resp, err := s.readHead()
	if err != nil {
		return fail(err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReport+1))
	if err != nil {
		return fail(err)
	}
	switch {
	case resp.StatusCode == http.StatusNotFound:
		out.Result, out.Unsupported = logic.Failed, true
	case resp.StatusCode == http.StatusServiceUnavailable:
		out.Result = logic.Rejected
	case resp.StatusCode != http.StatusOK:
		out.Result = logic.Failed
	default:
		out.Result = logic.OK
		if text := strings.TrimSpace(string(body)); kind == healthcheck.LoadRequest && text != "" {
			out.LoadReport = u.readReport([]string{text})
		}
	}
	if len(body) > maxReport || s.reader.Buffered() > 0 {
		return pool.Broken
	}
	return left(resp, nil)
}
