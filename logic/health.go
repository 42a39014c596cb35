package logic

import "slices"

// Health: outlier ejection and readmission.

// ejected reports whether the server is kept out as ill. When most of the capacity seems ill, the
// suspicion is: in a jam all servers are late, and none is kept out for it.
func (b *Balancer) ejected(s *server) bool {
	return s.until > 0 && b.well >= healthyPart*b.total
}

// Unavailable is how many servers of the list get no requests now: they drain, or are kept out as ill.
func (b *Balancer) Unavailable() (n int) {
	for _, s := range b.servers {
		if s.State != Ready || b.ejected(s) {
			n++
		}
	}
	return n
}

// judge learns from an outcome how the server does. Errors and rejections come fast and make a server look
// idle, so they lower its weight; only answers count as rate.
func (b *Balancer) judge(a *attempt, o Outcome) {
	s, bad := a.srv, 0.0
	if a.sent < s.life {
		return // it went to the life before
	}
	if o.Result == TimedOut && a.owed > 0 && b.now-a.owed < a.req.class.LatencyObjective {
		s.trial = false // the client left no time for an answer: that says nothing of server or jam
		return
	}
	// A request that comes back to a server which has just turned it away hears nothing new.
	news := o.Result != Rejected || !a.req.rejectedBefore(a)
	if news && (o.Result == OK || o.Result == Rejected || o.Result == TimedOut || o.Result == Failed) {
		turned := 0.0
		if o.Result == Rejected {
			turned = 1
		}
		b.outcomes = min(b.outcomes+1, 1/fullWeight)
		b.full += (turned - b.full) / (b.outcomes + fullPrior)
	}
	switch o.Result {
	case OK:
		b.usual[a.req.Class] += learn * (float64(o.Latency) - b.usual[a.req.Class])
		s.heard = b.now
		b.sent++
		b.ownRate(s, o.Latency)
		b.lateness(float64(o.Latency) / float64(a.req.class.LatencyObjective))
	case TimedOut:
		if s.heard > a.owed && s.until == 0 {
			b.lateness(1)
			return // it answers others: the request is costly or the server in a jam, not ill
		}
		bad = 1
	case Failed, Rejected, ConnectFailed, Reset:
		if o.Result == Rejected && news && !b.set.ExternalAdmission {
			b.lateness(1)
		}
		bad = 1
	default:
		s.trial = false
		return
	}
	s.failing += failWeight * (bad - s.failing)
	switch {
	case s.until > 0 && bad == 0 && (s.trial || s.failing < failEject):
		s.until, s.trial, s.told, s.failing = 0, false, false, 0
	case s.until == 0 && s.failing > failEject && !(b.set.ExternalAdmission && o.Result == Rejected), s.trial:
		b.eject(s)
	}
}

// rejectedBefore reports whether an earlier attempt of the request was turned away by the server of this one.
func (r *request) rejectedBefore(a *attempt) bool {
	return slices.ContainsFunc(r.attempts, func(other *attempt) bool {
		return other != a && other.srv == a.srv && !other.out && other.neverRan
	})
}

// eject keeps a server out of the draws for a horizon; then one request to spare tries it.
func (b *Balancer) eject(s *server) { s.until, s.trial, s.told = b.now+b.horizon, false, false }

// hearsay keeps a server out, and trials off it, while other balancers see it fail: each would find out
// anew else, and all of them would try a dead server again and again. It goes before nothing that this
// balancer has seen itself lately.
func (b *Balancer) hearsay(h PeerReport) {
	s := b.byID[h.Endpoint]
	switch {
	case s == nil || s.until > 0 && !s.told || s.trial:
	case !h.Unhealthy && s.told:
		s.until, s.told = 0, false
	case h.Unhealthy && (s.told || b.now-s.heard > b.horizon):
		b.eject(s)
		s.told = true
	}
}

// missed is how many answers the server would have given, at the usual pace, since it gave the last one.
// Waiting is counted over all that is in flight: one late answer is a costly request, many are a silent
// server.
func (b *Balancer) missed(s *server) (n float64) {
	for _, a := range s.inFlight {
		if a.owed > 0 {
			n += float64(b.now-max(a.owed, s.heard)) / b.usual[a.req.Class]
		}
	}
	return n
}

// checkHealth looks for servers that take requests and answer none, for longer than is usual.
func (b *Balancer) checkHealth(passed float64) {
	for _, s := range b.servers {
		if (s.until == 0 || s.trial) && b.missed(s) > missedMost {
			b.eject(s)
		}
		b.forget(s, passed)
	}
}

// trial returns an ejected server that is due to be tried, if the request is one to risk.
func (b *Balancer) trial(r *request) *server {
	if len(r.attempts) > 0 || r.class.Idempotency != b.trialBy {
		return nil
	}
	for _, s := range b.servers {
		if s.until > 0 && b.now >= s.until && !s.trial && !s.probing && s.coldShare(b) == 1 && b.maySend(r, s) {
			return s
		}
	}
	return nil
}
