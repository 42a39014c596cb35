package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"ryeweir/internal/httpmsg"
)

// checkRequest checks one request against the rules that apply to the way it ended and to its client's behavior.
func (check *checker) checkRequest(request *Request, c *clients) {
	i := slices.IndexFunc(check.plan.Classes, func(requestClass class) bool { return requestClass.name == request.Class })
	requestClass := check.plan.Classes[i]
	attempts := check.attempts[request.ID]
	check.checkDuplicates(request, requestClass, attempts)
	switch {
	case request.ConnectErr:
		check.checkConnectionRefused(request)
	case request.Behavior == malformed || request.StoppedAt > 0:
		check.checkBadClient(request, attempts)
	case request.ClosedAt > 0:
		check.checkClosedByClient(request, attempts)
	case request.SentAt > 0:
		check.checkResponse(request, attempts)
		check.checkSlowAnswer(request, attempts)
		check.checkDeadline(request, attempts)
	}
}

// checkResponse checks that a request that was sent completely gets its one final response in time, with a body that a server wrote for
// it. It excuses a request whose agent was killed before the request ended.
func (check *checker) checkResponse(request *Request, attempts []Attempt) {
	incarnation := check.incarnationOf(request)
	if incarnation.killedAt > 0 && incarnation.killedAt <= request.EndedAt+check.tolerance && !check.owedBeforeKill(incarnation, request) {
		return
	}
	for _, f := range incarnation.clientReadFaults { // to the agent, the client's connection failed
		if request.Status == 0 && f.overlaps(request.SentAt-time.Second, request.EndedAt, 0) {
			return
		}
	}
	end := request.EndedAt
	longAnswer := request.Status == http.StatusOK && slices.ContainsFunc(attempts, func(at Attempt) bool { return at.Mode == SlowAnswer })
	if flows := request.ReceivedBytes > httpmsg.MaxBufferedBytes || !request.Complete || longAnswer; flows && request.ResponseStartedAt > 0 {
		end = request.ResponseStartedAt // a streamed response must start in time; when and how it ends depends on the server
	}
	overdue := end - pausedWithin(incarnation, request.SentAt, end) - request.SentAt - request.Timeout
	switch {
	case request.Err == responseTimeout && overdue <= responseGrace+check.tolerance: // the agent was paused, and the client stopped waiting
	case overdue > responseGrace+check.tolerance: // also without a response: the client waits much longer than responseGrace
		check.report("late", request.EndedAt, request, "client behavior %s: the request ended %v after its timeout of %v (%s)", request.Behavior, overdue.Round(time.Millisecond), request.Timeout, request.outcome())
	case request.Status == 200 && request.Complete:
		if !slices.ContainsFunc(attempts, func(at Attempt) bool { return at.ResponseBody == request.ReceivedBody }) {
			check.report("wrong answer", request.EndedAt, request, "the agent responded with body %q, which no server wrote for this request", request.ReceivedBody)
		}
	case request.Complete:
	case request.Status > 0:
		brokenByServer := func(at Attempt) bool {
			return check.brokenByServer(at) || at.Mode == SlowAnswer && check.slowAnswerExcused(request, at)
		}
		if !slices.ContainsFunc(attempts, brokenByServer) {
			check.report("broken answer", request.EndedAt, request, "client behavior %s: the agent's response with status %d was cut off after %d bytes, and no server caused it: %s", request.Behavior, request.Status, request.ReceivedBytes, request.Err)
		}
	case incarnation.termAt > 0 && request.ConnectionUses == 0 && request.SentAt > incarnation.termAt+acceptsAfterTerm: // refused in shutdown
	case request.ConnectionUses > 0 && !request.Resent: // the close crossed the request on the wire; the client sends it again
	case check.overLimit(request) && len(attempts) == 0: // the agent may refuse connections over its limit
	default:
		check.report("lost", request.EndedAt, request, "client behavior %s, class %s, %d earlier requests on the connection from %s: the client got no response (%s), the servers received %d attempts", request.Behavior, request.Class, request.ConnectionUses, request.LocalAddr, request.Err, len(attempts))
	}
}

// owedBeforeKill reports whether a request that SIGKILL cut off was owed its response before: the signal followed a SIGTERM, and the request came
// so long after that and before the kill that the agent had to answer it at once.
func (check *checker) owedBeforeKill(incarnation *agentIncarnation, request *Request) bool {
	return incarnation.termAt > 0 && request.SentAt > incarnation.termAt+killMargin && request.SentAt < incarnation.killedAt-2*check.tolerance &&
		request.ResponseStartedAt == 0
}

// outcome returns the error with which the request ended, or its status.
func (r *Request) outcome() string {
	if r.Err != "" {
		return r.Err
	}
	return fmt.Sprintf("status %d", r.Status)
}

// brokenByServer reports whether the server of an attempt or the path to it, and not the agent, may have cut off the response.
func (check *checker) brokenByServer(attempt Attempt) bool {
	switch attempt.Mode {
	case ResetMidway, StallMidway, CloseDelimited, LongResponse, Chunked:
		return true
	}
	s := check.servers[check.serverIndex[attempt.Backend]]
	return s.instance > attempt.Instance || check.relayPaths[check.serverIndex[attempt.Backend]] != nil
}

// overLimit reports whether the agent may have been at its limit of open connections while the request was served.
func (check *checker) overLimit(request *Request) bool {
	return slices.ContainsFunc(check.overConnectionLimit[request.Agent], func(s span) bool { return s.overlaps(request.SentAt-time.Second, request.EndedAt, time.Second) })
}

// checkConnectionRefused checks that an agent accepts connections if it is ready, was not stopped or paused, and is below its connection
// limit.
func (check *checker) checkConnectionRefused(request *Request) {
	for _, incarnation := range check.agents[request.Agent].incarnations {
		serving := incarnation.readyAt > 0 && incarnation.readyAt < request.EndedAt-2*time.Second
		stopped := incarnation.termAt > 0 || incarnation.killedAt > 0 || incarnation.endedAt > 0
		if serving && !stopped && pausedWithin(incarnation, request.EndedAt-4*time.Second, request.EndedAt) == 0 && !check.overLimit(request) {
			check.report("no connection", request.EndedAt, request, "the client could not connect to the agent: %s", request.Err)
		}
	}
}

// checkBadClient checks that a malformed or incomplete request ends with an error or a close within badClientBound, and that the agent
// does not forward it completely to a server.
func (check *checker) checkBadClient(request *Request, attempts []Attempt) {
	from := max(request.SentAt, request.StoppedAt)
	waited := request.EndedAt - from - pausedWithin(check.incarnationOf(request), from, request.EndedAt)
	if from > 0 && waited > badClientBound+check.tolerance {
		check.report("bad client", request.EndedAt, request, "client behavior %s: the client waited %v for an error or a close (%s)", request.Behavior, waited.Round(time.Millisecond), request.outcome())
	}
	if request.Status == 200 {
		check.report("bad client", request.EndedAt, request, "client behavior %s: the agent responded with status 200", request.Behavior)
	}
	for _, attempt := range attempts {
		if attempt.CompleteAt > 0 {
			check.report("bad client", attempt.CompleteAt, request, "client behavior %s: the agent forwarded the request to server %s", request.Behavior, attempt.Backend)
		}
	}
}

// checkClosedByClient checks that no attempt begins more than clientCloseGrace after the client has closed its connection.
func (check *checker) checkClosedByClient(request *Request, attempts []Attempt) {
	incarnation := check.incarnationOf(request)
	for n, attempt := range attempts {
		if after := attempt.FirstByteAt - request.ClosedAt; after > clientCloseGrace+check.tolerance && !check.disturbed(incarnation, check.serverIndex[attempt.Backend], request.ClosedAt, attempt.FirstByteAt) {
			check.report("sent after leave", attempt.FirstByteAt, request, "client behavior %s: attempt %d at server %s began %v after the client closed its connection", request.Behavior, n, attempt.Backend, after.Round(time.Millisecond))
		}
	}
}

// checkDuplicates checks that a request that a server may have processed is sent again only if its class allows that: at any time if it is
// idempotent, within the idempotency window if it has a key, and never otherwise.
func (check *checker) checkDuplicates(request *Request, requestClass class, attempts []Attempt) {
	if request.Resent && slices.ContainsFunc(check.incarnationOf(request).clientReadFaults, func(f span) bool { return f.overlaps(request.SentAt-2*time.Second, request.EndedAt, 0) }) {
		return // a read that was made to fail ended the first connection: the agent saw a disconnect, and the client sent the request again
	}
	var first *Attempt
	for n := range attempts {
		attempt := &attempts[n]
		if attempt.CompleteAt == 0 {
			continue
		}
		if first != nil {
			after := attempt.FirstByteAt - first.FirstByteAt
			switch {
			case requestClass.effect == nonIdempotent:
				check.report("duplicate", attempt.FirstByteAt, request, "client behavior %s: server %s received a second copy %v after server %s received the first (mode '%s')", request.Behavior, attempt.Backend, after.Round(time.Millisecond), first.Backend, first.Mode)
			case requestClass.effect == idempotentWithKey && after > requestClass.idempotencyWindow+socketGrace+check.tolerance && !check.disturbed(check.incarnationOf(request), check.serverIndex[attempt.Backend], first.FirstByteAt, attempt.FirstByteAt):
				check.report("duplicate", attempt.FirstByteAt, request, "client behavior %s: server %s received a second copy %v after the first, outside the idempotency window of %v", request.Behavior, attempt.Backend, after.Round(time.Millisecond), requestClass.idempotencyWindow)
			}
		}
		if attempt.Processed && first == nil {
			first = attempt
		}
	}
}

// checkDeadline checks that the timeout that an agent passes to a server is not longer than the time that the client has left.
func (check *checker) checkDeadline(request *Request, attempts []Attempt) {
	incarnation := check.incarnationOf(request)
	for _, attempt := range attempts {
		left := request.SentAt + request.Timeout - attempt.FirstByteAt
		if excess := attempt.StatedTimeout - left; attempt.StatedTimeout > 0 && excess > deadlineSlack+check.tolerance && !check.disturbed(incarnation, check.serverIndex[attempt.Backend], request.SentAt, attempt.FirstByteAt) {
			check.report("deadline", attempt.FirstByteAt, request, "client behavior %s: the agent gave server %s a timeout of %v when the client had %v left", request.Behavior, attempt.Backend, attempt.StatedTimeout, left.Round(time.Millisecond))
		}
	}
}
