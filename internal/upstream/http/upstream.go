// Package http carries out attempts as HTTP/1.1 exchanges with servers. Each connection carries one request at a time, and
// all that happens to it is done here and in the pool: http.Transport would send a request again by itself when a kept
// connection turns out dead, which counts as an attempt that nobody decided on.
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

// Upstream makes attempts. It implements core.Upstream.
type Upstream struct {
	Pool              *pool.Pool // its connections have the state that Wrap makes
	Clock             core.Clock
	Budget            *bodybuffer.Budget // for answers
	LoadReportFields  []string           // of load reports that count
	OnRequestWritten  func()             // a request has been written whole
	OnMalformedReport func(err error)    // a report was malformed

	Events  *event.Recorder    // nil for nobody
	Monitor *invariant.Monitor // nil for nobody
}

// UpdateEndpoints takes the list of servers or a change of it.
func (u *Upstream) UpdateEndpoints(l core.EndpointList) (listed, ready int) {
	return u.Pool.UpdateEndpoints(l.Full, l.Endpoints)
}

// Bind returns the present life of a server.
func (u *Upstream) Bind(server string) any { return u.Pool.Endpoint(server) }

// Execute makes the attempt and reports its outcome, which is exact. A long answer goes on being read after that.
func (u *Upstream) Execute(ctx context.Context, a *core.Attempt) {
	node, _ := a.Target.(*pool.Endpoint)
	out := core.Outcome{Result: logic.NotSent, LoadReport: logic.NoLoadReport}
	c, err := u.Pool.Get(ctx, pool.Request{Endpoint: node, NonIdempotent: a.Call.NonIdempotent, Deadline: u.Clock.At(a.Deadline()), Abandoned: a.Call.Done()})
	switch {
	case errors.Is(err, pool.ErrNotReady) || errors.Is(err, pool.ErrExhausted) || errors.Is(err, pool.ErrCanceled):
		a.Report(out) // the agent's own lack says nothing of the server
		return
	case err != nil:
		out.Result = logic.ConnectFailed
		a.Report(out)
		return
	case !u.stillWanted(a, node) || !a.Begin():
		u.Pool.Put(c, pool.Unused)
		a.Report(out)
		return
	}
	x := &exchange{Upstream: u, conn: c, state: c.State.(*state), attempt: a, node: node, message: a.Call.Message.(*httpmsg.Message), out: out}
	u.Pool.Put(c, x.run(ctx))
	x.finish()
}

// stillWanted asks the send guard just before the first byte goes out. A dial may have taken long: meanwhile the server may have
// begun to drain or started anew, the call may have ended, or the servers may have forgotten its key.
func (u *Upstream) stillWanted(a *core.Attempt, node *pool.Endpoint) bool {
	return !u.send(a, node).Check().Denied
}

// send describes an attempt at this moment, for the send guard.
func (u *Upstream) send(a *core.Attempt, node *pool.Endpoint) invariant.Send {
	takes, since := u.Pool.AcceptsRequests(node)
	return invariant.Send{Now: u.Clock.Now(), WriteDeadline: a.WriteDeadline, RequestFinished: a.Call.Finished(), FinishedAt: a.Call.FinishedAt(),
		EndpointAcceptsNew: takes, RetiredAt: since}
}
