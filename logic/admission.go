package logic

import (
	"container/heap"
	"maps"
	"math"
	"slices"
)

// Admission: what is let in, and what is refused in a jam.

func (b *Balancer) request(e Request) {
	if e.Class < 0 || e.Class >= len(b.set.Classes) || b.requests[e.ID] != nil {
		return
	}
	r := &request{Request: e, class: &b.set.Classes[e.Class]}
	b.requests[e.ID] = r
	b.budget = min(b.budget+retryShare, b.mostSaved())
	b.probes = min(b.probes+b.set.HealthChecksPerRequest, probesSaved)
	if r.BodyPending {
		r.Deadline = math.MaxInt64
	} else {
		b.limit(r)
	}
	b.setShed(0) // a look at each tick would swing between all and nothing
	// In a jam all cheap work may be refused, but an idle server must not wait for its trial till the end.
	switch {
	case b.ending:
		b.finish(r, ShuttingDown)
	case !b.set.ExternalAdmission && b.refused(b.worthOf(r)) && b.trial(r) == nil:
		b.finish(r, Overloaded)
	default:
		b.try(r)
	}
}

// limit sees to it that the request ends at its deadline at the latest.
func (b *Balancer) limit(r *request) {
	heap.Push(&b.open, r)
	b.arm()
}

// arm sets the timer for the earliest deadline, unless one as early is set. One for each request would wake
// the agent as often as requests come, long after most of them are answered.
func (b *Balancer) arm() {
	if len(b.open) > 0 && (b.armed == 0 || b.open[0].Deadline < b.armed) {
		b.arms++
		b.armed = b.open[0].Deadline
		b.timer(deadlineToken+b.arms, b.armed-b.now)
	}
}

// endDue ends the requests whose deadline has come.
func (b *Balancer) endDue() {
	for len(b.open) > 0 && b.open[0].Deadline <= b.now {
		b.finish(b.open[0], DeadlineExceeded) // which takes it out
	}
	b.armed = 0
	b.arm()
}

// end gives all that is open its final answer, and from now on all that comes.
func (b *Balancer) end() {
	b.ending = true
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		b.finish(b.requests[id], ShuttingDown)
	}
}

// received takes the end of a request that was sent on as it came in: only now does its server owe an answer.
func (b *Balancer) received(e BodyReceived) {
	r := b.requests[e.Request]
	if r == nil || !r.BodyPending {
		return
	}
	r.BodyPending, r.spent, r.Deadline = false, true, e.Deadline
	for _, a := range r.attempts {
		a.owed = b.now
	}
	if !r.closed {
		b.limit(r)
	}
}

// setShed sets the shed level by the mean of time taken over aim. What answers say of it counts as far as
// servers report that they are busy: else one slow server, or chance at a quiet balancer, passes for a
// jam. By Little's law the mean is also what is in flight, each by one over its aim, over the rate of
// answers: there a jam shows sooner, with each request, but the few in flight at a quiet balancer bunch
// by chance and count for less. Where servers report little use, what stays in flight hangs somewhere:
// refusing others would not help it, and as answers fall with each refusal the same few in flight would
// seem an ever worse jam. The more attempts servers turn away, the earlier refusals begin: that is their
// own word, and one that stays full for long becomes slow for longer.
func (b *Balancer) setShed(passed float64) {
	b.weigh() // who is ejected has just changed
	var wait, age, busy, known, out float64
	for _, s := range b.servers {
		if b.ejected(s) {
			continue
		}
		if s.reported > 0 { // an old report says nothing: in a jam none come
			busy, known = busy+(1-s.trust*(1-s.busy))*s.capacity, known+s.capacity
		}
		for _, a := range s.inFlight {
			// One that is out for longer hangs, or late answers tell of it.
			if a.owed > 0 && b.now-a.owed <= a.req.class.LatencyObjective {
				wait, out = wait+1/a.req.class.LatencyObjective.Seconds(), out+1
				age += float64(b.now-a.owed) / float64(a.req.class.LatencyObjective)
			}
		}
	}
	b.crowd = int(out / subsetFull) // a busy caller must not crowd its few servers
	one := math.Exp(-1.0 / ticks / shareTime)
	keep := math.Pow(one, passed)
	b.sent, b.span, b.late = keep*b.sent, keep*b.span+b.horizon.Seconds()/ticks*(1-keep)/(1-one), keep*b.late
	b.askedAll *= keep
	for i := range b.asked {
		b.asked[i] *= keep
	}
	little := wait * b.span / (b.sent + 1) * (1 - 1/math.Sqrt(max(out, 1))) * b.sent / (b.sent + fewAnswers)
	// The rate lags behind traffic that rises or comes in a burst, which is no jam: but then all is young.
	little = min(little, youngTimes*age/max(out, 1))
	if known == 0 {
		busy, known = b.provenBusy(), 1
	}
	busy /= known
	b.busy = busy
	part := min(1, max(0, (busy-busyFrom)/(busyFull-busyFrom)))
	jam := min(1, max(0, (busy-idleTo)/(busyFrom-idleTo)))
	from := max(shedLeast, shedFrom-fullTimes*b.full)
	if b.subset < len(b.servers) {
		// One of many that share a fleet hears late of a jam, when clients of all come again already.
		from *= partFrom
	}
	b.shedAt = from
	b.suspect = max(0, b.late-shedFrom, little-shedFrom)
	b.shed = shedSlope * max(0, part*(b.late-from), jam*(little-from))
}

// provenBusy is how busy the own servers are, as far as probes have not shown that they have room.
func (b *Balancer) provenBusy() float64 {
	busy, all := 0.0, 0.0
	for _, s := range b.servers {
		if s.own && !b.ejected(s) {
			busy, all = busy+(1-b.sureOfUse(s)*(1-s.used))*s.capacity, all+s.capacity
		}
	}
	if all == 0 {
		return 1
	}
	return busy / all
}

// lateness takes a sample of time taken over aim.
func (b *Balancer) lateness(x float64) { b.late += lateWeight * (min(x, 1) - b.late) }

// refused draws whether a request of that worth gives way. What is worth little for its time goes first, by
// the square, so that the valuable is served in time, and refusing early costs no server anything.
func (b *Balancer) refused(worth float64) bool {
	if b.worth == 0 {
		b.worth = worth
	}
	b.worth += learn * (worth - b.worth)
	part := b.worth / worth
	return b.rng.Float64() < b.shed*part*part
}

// worthOf is what the request is worth for the time that it usually takes, less as far as its tenant asks for
// more than its share of late: long work must not crowd out short, nor a tenant that sends several times its
// share those within theirs. Each balancer goes by its own requests; until it has seen some, all are within.
func (b *Balancer) worthOf(r *request) float64 {
	worth := r.class.PriorityWeight / b.usual[r.Class]
	if r.Tenant < 0 || r.Tenant >= len(b.asked) {
		return worth
	}
	b.asked[r.Tenant]++
	b.askedAll++
	share := b.set.TenantQuotas[r.Tenant]
	inside := min(1, share*(b.askedAll+fewAsked)/(b.asked[r.Tenant]+fewAsked*share))
	return worth * (inside + (1-inside)*b.set.OverQuotaWeight)
}
