package soak

import (
	"fmt"
	"slices"
	"time"

	"ryeweir/internal/httpmsg"
)

// checkRequest holds one request against the rules.
func (a *checker) checkRequest(request *Request, c *clients) {
	i := slices.IndexFunc(a.plan.Classes, func(requestClass class) bool { return requestClass.name == request.Class })
	requestClass := a.plan.Classes[i]
	attempts := a.attempts[request.ID]
	a.checkDuplicates(request, requestClass, attempts)
	switch {
	case request.ConnectErr:
		a.checkConnectionRefused(request)
	case request.Behavior == malformed || request.StoppedAt > 0:
		a.checkBadClient(request, attempts)
	case request.ClosedAt > 0:
		a.checkClosedByClient(request, attempts)
	case request.SentAt > 0:
		a.checkAnswer(request, attempts)
		a.checkDeadline(request, attempts)
	}
}

// checkAnswer: a request that was sent completely gets its one final answer in time, and nothing but what a server made for it.
func (a *checker) checkAnswer(request *Request, attempts []Attempt) {
	incarnation := a.incarnationOf(request)
	if incarnation.killedAt > 0 && incarnation.killedAt <= request.EndedAt+a.tolerance {
		return
	}
	for _, f := range incarnation.clientReadFaults { // for the agent the client's connection broke
		if request.Status == 0 && f.overlaps(request.SentAt-time.Second, request.EndedAt, 0) {
			return
		}
	}
	end := request.EndedAt
	if flows := request.BodyBytes > httpmsg.MaxBufferedBytes || !request.Complete; flows && request.AnswerStartedAt > 0 {
		end = request.AnswerStartedAt // what has begun in time may go on for as long as its server gives it, and fail with it
	}
	overdue := end - pausedWithin(incarnation, request.SentAt, end) - request.SentAt - request.Timeout
	switch {
	case request.Err == noAnswerInTime && overdue <= answerGrace+a.tolerance: // its client gave up while the agent was paused
	case overdue > answerGrace+a.tolerance: // a client that got none gives up long after that
		a.report("late", request.EndedAt, request, "%s: %v after its time of %v (%s)", request.Behavior, overdue.Round(time.Millisecond), request.Timeout, request.outcome())
	case request.Status == 200 && request.Complete:
		if !slices.ContainsFunc(attempts, func(at Attempt) bool { return at.Answer == request.Body }) {
			a.report("wrong answer", request.EndedAt, request, "served %q, which no server made for it", request.Body)
		}
	case request.Complete:
	case request.Status > 0:
		if !slices.ContainsFunc(attempts, a.brokenByServer) {
			a.report("broken answer", request.EndedAt, request, "%s: answer %d broke off after %d bytes: %s", request.Behavior, request.Status, request.BodyBytes, request.Err)
		}
	case incarnation.termAt > 0 && request.ConnectionUses == 0 && request.SentAt > incarnation.termAt+acceptsAfterTerm:
	case request.ConnectionUses > 0 && !request.Resent: // the close crossed it; it was sent again
	case a.overLimit(request) && len(attempts) == 0:
	default:
		a.report("lost", request.EndedAt, request, "%s in class %s, %d requests before it on %s: no answer (%s), %d attempts", request.Behavior, request.Class, request.ConnectionUses, request.LocalAddr, request.Err, len(attempts))
	}
}

func (r *Request) outcome() string {
	if r.Err != "" {
		return r.Err
	}
	return fmt.Sprintf("status %d", r.Status)
}

// brokenByServer reports whether a server or its path, and not the agent, may have broken an answer off.
func (a *checker) brokenByServer(attempt Attempt) bool {
	switch attempt.Mode {
	case ResetWithin, NeverEnds, NoLength, LongAnswer, Chunked:
		return true
	}
	s := a.servers[a.serverIndex[attempt.Backend]]
	return s.instance > attempt.Instance || a.paths[a.serverIndex[attempt.Backend]] != nil
}

func (a *checker) overLimit(request *Request) bool {
	return slices.ContainsFunc(a.overConnectionLimit[request.Agent], func(s span) bool { return s.overlaps(request.SentAt-time.Second, request.EndedAt, time.Second) })
}

// checkConnectionRefused: an agent that serves takes connections.
func (a *checker) checkConnectionRefused(request *Request) {
	for _, incarnation := range a.agents[request.Agent].incarnations {
		serving := incarnation.readyAt > 0 && incarnation.readyAt < request.EndedAt-2*time.Second
		stopped := incarnation.termAt > 0 || incarnation.killedAt > 0 || incarnation.endedAt > 0
		if serving && !stopped && pausedWithin(incarnation, request.EndedAt-4*time.Second, request.EndedAt) == 0 && !a.overLimit(request) {
			a.report("no connection", request.EndedAt, request, "%s", request.Err)
		}
	}
}

// checkBadClient: it gets an error or a close in time, and nothing of it runs.
func (a *checker) checkBadClient(request *Request, attempts []Attempt) {
	from := max(request.SentAt, request.StoppedAt)
	waited := request.EndedAt - from - pausedWithin(a.incarnationOf(request), from, request.EndedAt)
	if from > 0 && waited > badClientBound+a.tolerance {
		a.report("bad client", request.EndedAt, request, "%s waited %v (%s)", request.Behavior, waited.Round(time.Millisecond), request.outcome())
	}
	if request.Status == 200 {
		a.report("bad client", request.EndedAt, request, "%s was served", request.Behavior)
	}
	for _, attempt := range attempts {
		if attempt.CompleteAt > 0 {
			a.report("bad client", attempt.CompleteAt, request, "%s was forwarded to %s", request.Behavior, attempt.Backend)
		}
	}
}

// checkClosedByClient: nothing begins for a client that has left.
func (a *checker) checkClosedByClient(request *Request, attempts []Attempt) {
	incarnation := a.incarnationOf(request)
	for n, attempt := range attempts {
		if after := attempt.FirstByteAt - request.ClosedAt; after > clientCloseGrace+a.tolerance && !a.disturbed(incarnation, a.serverIndex[attempt.Backend], request.ClosedAt, attempt.FirstByteAt) {
			a.report("sent after leave", attempt.FirstByteAt, request, "%s: attempt %d at %s began %v after its client left", request.Behavior, n, attempt.Backend, after.Round(time.Millisecond))
		}
	}
}

// checkDuplicates: what may have run goes out again only where its class allows.
func (a *checker) checkDuplicates(request *Request, requestClass class, attempts []Attempt) {
	if request.Resent && slices.ContainsFunc(a.incarnationOf(request).clientReadFaults, func(f span) bool { return f.overlaps(request.SentAt-2*time.Second, request.EndedAt, 0) }) {
		return // a read that was made to fail ended the connection of the first: for the agent that client had left
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
				a.report("duplicate", attempt.FirstByteAt, request, "%s: a second copy at %s %v after that at %s (%s)", request.Behavior, attempt.Backend, after.Round(time.Millisecond), first.Backend, first.Mode)
			case requestClass.effect == idempotentWithKey && after > requestClass.window+socketGrace+a.tolerance && !a.disturbed(a.incarnationOf(request), a.serverIndex[attempt.Backend], first.FirstByteAt, attempt.FirstByteAt):
				a.report("duplicate", attempt.FirstByteAt, request, "%s: a second copy at %s %v after the first, outside the window of %v", request.Behavior, attempt.Backend, after.Round(time.Millisecond), requestClass.window)
			}
		}
		if attempt.Processed && first == nil {
			first = attempt
		}
	}
}

// checkDeadline: the time-out passed to a server is no more than the client has left.
func (a *checker) checkDeadline(request *Request, attempts []Attempt) {
	incarnation := a.incarnationOf(request)
	for _, attempt := range attempts {
		left := request.SentAt + request.Timeout - attempt.FirstByteAt
		if excess := attempt.StatedTimeout - left; attempt.StatedTimeout > 0 && excess > deadlineSlack+a.tolerance && !a.disturbed(incarnation, a.serverIndex[attempt.Backend], request.SentAt, attempt.FirstByteAt) {
			a.report("deadline", attempt.FirstByteAt, request, "%s: %s was given %v with %v left", request.Behavior, attempt.Backend, attempt.StatedTimeout, left.Round(time.Millisecond))
		}
	}
}
