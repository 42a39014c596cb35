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

// Upstream executes attempts and health checks. It implements core.Upstream and healthcheck.Transport, and is safe for concurrent
// use.
type Upstream struct {
	Pool              *pool.Pool // its Config.NewState must be NewConnState
	Clock             core.Clock
	Budget            *bodybuffer.Budget // for the buffers of responses
	LoadReportFields  []string           // names of the fields that are read from a load report
	OnRequestWritten  func()             // called when a request has been written completely
	OnMalformedReport func(err error)    // called when a load report cannot be parsed

	Events  *event.Recorder    // nil records none
	Monitor *invariant.Monitor // nil monitors none
}

// UpdateEndpoints applies a full snapshot of the endpoints or a watch event. It returns the number of listed endpoints and how many
// of them are ready.
func (u *Upstream) UpdateEndpoints(list core.EndpointList) (listed, ready int) {
	return u.Pool.UpdateEndpoints(list.Full, list.Endpoints)
}

// Bind returns the current incarnation of an endpoint, or a nil *pool.Endpoint if it is not listed.
func (u *Upstream) Bind(endpointID string) any { return u.Pool.Endpoint(endpointID) }

// Execute executes an attempt and reports exactly one outcome. It returns when the exchange has ended. If the response is streamed,
// the outcome is reported before that.
func (u *Upstream) Execute(ctx context.Context, attempt *core.Attempt) {
	endpoint, _ := attempt.Target.(*pool.Endpoint)
	outcome := core.Outcome{Result: logic.NotSent, LoadReport: logic.NoLoadReport}
	conn, err := u.connect(ctx, attempt, endpoint)
	if err != nil {
		outcome.Result = connectFailure(err)
		attempt.Report(outcome)
		return
	}
	if !u.beginSend(attempt, endpoint) {
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
	x.hold.exchange = x
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

// connectFailure returns the result of an attempt that got no connection. Only a failed handshake is evidence against the endpoint;
// the agent's own limits are not.
func connectFailure(err error) logic.Result {
	if errors.Is(err, pool.ErrConnectFailed) {
		return logic.ConnectFailed
	}
	return logic.NotSent
}

// beginSend reports whether the attempt may write its first byte.
//
// Failure: while the attempt waits for a connection, the endpoint starts to drain or restarts, the call ends, or the time passes
// after which the endpoints may have forgotten its idempotency key. To catch this, the check of invariant.Send is called when the
// connection is available, just before the first byte. Once Attempt.Begin has succeeded, a call that ends before the outcome of
// this attempt is reported is not answered as one that was never executed.
func (u *Upstream) beginSend(attempt *core.Attempt, endpoint *pool.Endpoint) bool {
	return u.sendAllowed(attempt, endpoint) && attempt.Begin()
}

// sendAllowed reports whether the check of invariant.Send allows the attempt now.
func (u *Upstream) sendAllowed(attempt *core.Attempt, endpoint *pool.Endpoint) bool {
	return !u.describeSend(attempt, endpoint).Check().Denied
}

// describeSend returns the current state of an attempt and its endpoint, for the check of invariant.Send.
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
