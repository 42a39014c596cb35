package http

import (
	"context"
	"errors"

	"ryeweir/internal/bodybuffer"
	"ryeweir/internal/core"
	"ryeweir/internal/event"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/invariant"
	"ryeweir/internal/pool"
	"ryeweir/logic"
)

// Upstream carries out attempts and health checks. It implements core.Upstream and healthcheck.Transport, and is safe for
// concurrent use.
type Upstream struct {
	Pool              *pool.Pool // with NewConnState as its Config.NewState
	Clock             core.Clock
	Budget            *bodybuffer.Budget // for buffers of responses
	LoadReportFields  []string           // that are read of a load report
	OnRequestWritten  func()             // called when a request has been written completely
	OnMalformedReport func(err error)    // called with a load report that can't be read

	Events  *event.Recorder    // nil: none are recorded
	Monitor *invariant.Monitor // nil: none
}

// UpdateEndpoints applies a full snapshot of the endpoints or a watch event.
func (u *Upstream) UpdateEndpoints(list core.EndpointList) (listed, ready int) {
	return u.Pool.UpdateEndpoints(list.Full, list.Endpoints)
}

// Bind returns the present incarnation of an endpoint, or nil.
func (u *Upstream) Bind(endpointID string) any { return u.Pool.Endpoint(endpointID) }

// Execute carries out an attempt and reports its one outcome. It returns when the exchange is over, which is later than the report
// if the response is streamed.
func (u *Upstream) Execute(ctx context.Context, attempt *core.Attempt) {
	endpoint, _ := attempt.Target.(*pool.Endpoint)
	outcome := core.Outcome{Result: logic.NotSent, LoadReport: logic.NoLoadReport}
	conn, err := u.connect(ctx, attempt, endpoint)
	if err != nil {
		outcome.Result = connectFailure(err)
		attempt.Report(outcome)
		return
	}
	if !u.claim(attempt, endpoint) {
		u.Pool.Put(conn, pool.Unused)
		attempt.Report(outcome)
		return
	}
	x := &exchange{
		Upstream: u,
		conn:     conn,
		state:    conn.State.(*connState),
		attempt:  attempt,
		endpoint: endpoint,
		message:  attempt.Call.Message.(*httpmsg.Message),
		outcome:  outcome,
	}
	u.Pool.Put(conn, x.run(ctx))
	x.reportOnce()
}

// connect gets a connection for the attempt.
func (u *Upstream) connect(ctx context.Context, attempt *core.Attempt, endpoint *pool.Endpoint) (*pool.Conn, error) {
	return u.Pool.Get(ctx, pool.Request{
		Endpoint:         endpoint,
		RepeatRestricted: attempt.Call.RepeatRestricted,
		Deadline:         u.Clock.At(attempt.Deadline()),
		Abandoned:        attempt.Call.Done(),
	})
}

// connectFailure is the result of an attempt that got no connection. Only a failed handshake is evidence against the endpoint; the
// agent's own limits are not.
func connectFailure(err error) logic.Result {
	if errors.Is(err, pool.ErrConnectFailed) {
		return logic.ConnectFailed
	}
	return logic.NotSent
}

// claim reports whether the attempt may write its first byte.
//
// Failure: the wait for a connection took long, and meanwhile the endpoint began to drain or restarted, the call ended, or the
// endpoints may have forgotten its idempotency key. The guard holds because it is asked after the connection is there, just
// before the first byte; Attempt.Begin then excludes that the call ends as not sent.
func (u *Upstream) claim(attempt *core.Attempt, endpoint *pool.Endpoint) bool {
	return u.mayStillSend(attempt, endpoint) && attempt.Begin()
}

// mayStillSend asks the send guard.
func (u *Upstream) mayStillSend(attempt *core.Attempt, endpoint *pool.Endpoint) bool {
	return !u.describeSend(attempt, endpoint).Check().Denied
}

// describeSend describes an attempt at this moment, for the send guard.
func (u *Upstream) describeSend(attempt *core.Attempt, endpoint *pool.Endpoint) invariant.Send {
	accepts, notReadySince := u.Pool.AcceptsRequests(endpoint)
	return invariant.Send{
		Now:                u.Clock.Now(),
		WriteDeadline:      attempt.WriteDeadline,
		RequestFinished:    attempt.Call.Finished(),
		FinishedAt:         attempt.Call.FinishedAt(),
		EndpointAcceptsNew: accepts,
		RetiredAt:          notReadySince,
	}
}
