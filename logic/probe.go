package logic

import "math"

// Probes: which server is asked how it does, when that is worth its price, and what the answer says.

const (
	probesFirst  = 3    // probes that a new balancer may send before it has had requests
	probesKept   = 1    // of them that doubt alone does not use up
	probesSaved  = 16   // most probes saved up
	askMissed    = 4    // answers that a server owes, by the usual time to one, from which it is asked
	askDoubt     = 0.4  // doubt in a server's capacity from which it is asked
	askSpread    = 0.5  // part by which the time between two probes of a server is spread
	reportError  = 0.07 // relative standard error of a report's figures
	reportCount  = 0.8  // seconds over which a report counts requests
	reportLate   = 0.3  // seconds by which it is late
	reportWander = 0.03 // variance that a capacity gains in a second, relative
)

// probing reports whether servers may be asked at all.
func (b *Balancer) probing() bool {
	return b.set.HealthChecksPerRequest > 0 && b.set.EndpointHealthCheckRate > 0
}

// gap is the least time in seconds between two probes of one server, so that the balancers that ask it
// together stay within what a server is asked at most: those which have it among their own.
func (b *Balancer) gap() float64 {
	spread := 1 + askSpread*(2*b.rng.Float64()-1)
	asking := float64(b.set.Balancers) * min(1, float64(max(b.subset, b.crowd))/max(1, float64(len(b.servers))))
	return spread * asking / b.set.EndpointHealthCheckRate
}

// probe asks the servers of which an answer is worth most, while the budget lasts.
func (b *Balancer) probe() {
	if !b.probing() {
		return
	}
	for b.probes >= 1 {
		var best *server
		most := 0.0
		for _, s := range b.servers {
			if w := b.wanted(s); w > most {
				best, most = s, w
			}
		}
		if best == nil {
			return
		}
		best.probing, best.nextProbe = true, b.now+seconds(b.gap())
		b.probes--
		b.act(Action{Kind: HealthCheck, Endpoint: best.ID})
	}
}

// wanted is what an answer of a server is worth now; 0 for nothing. A server that owes answers may be
// dead, one that was ejected is asked before it costs a request, and in what looks like a jam the
// servers' own word counts. Beyond that a capacity is asked for where little is known of it and requests
// go there.
func (b *Balancer) wanted(s *server) float64 {
	switch {
	case !s.own || s.probing || b.now < s.nextProbe || s.coldShare(b) < 1:
		return 0
	case s.until > 0 && !s.trial && b.now >= s.until-2*b.horizon/ticks:
		return 3
	case s.until == 0 && b.missed(s) > askMissed:
		return 4
	case s.until > 0:
		return 0
	case b.suspect > 0 && b.sureOfUse(s) < 0.5:
		return 2 - b.sureOfUse(s)
	}
	if d := b.doubt(s); d > askDoubt && b.sent > 0 && b.probes >= 1+probesKept {
		return d
	}
	return 0
}

// probed takes a probe's result. A lost one is no proof that a server is ill, as servers take only so
// many: with answers owed, or from one that was ejected, it is. One that is answered proves no health:
// probes and requests fail apart.
func (b *Balancer) probed(e HealthChecked) {
	s := b.byID[e.Endpoint]
	if s == nil || !s.probing {
		return
	}
	s.probing = false
	switch e.Result {
	case OK:
		b.reported(s, e.LoadReport)
	case TimedOut, ConnectFailed, Reset:
		if s.until > 0 || b.missed(s) > askMissed {
			b.eject(s)
		}
	}
}

// reported filters a report's capacity, its rate over its use, in logarithms: a Kalman filter whose state
// wanders and whose figures err by the counting of requests, the noise, and the time since they were
// taken.
func (b *Balancer) reported(s *server, r LoadReport) {
	if r.Utilization < 0 || r.RequestRate < 0 || s.coldShare(b) < 1 {
		return
	}
	if s.usedAt == 0 {
		s.used = r.Utilization
	}
	s.used += (1 - b.sureOfUse(s)/2) * (r.Utilization - s.used)
	s.usedAt = b.now
	if r.Utilization <= utilFloor || r.RequestRate <= 0 {
		return
	}
	x := math.Log(r.RequestRate / r.Utilization)
	err := 2*reportError*reportError + 1/(1+r.RequestRate*reportCount) + reportWander*(reportLate+reportCount/2)
	if s.polledAt == 0 {
		s.polled, s.polledVar = x, err
	} else {
		v := b.polledVar(s)
		gain := v / (v + err)
		s.polled, s.polledVar = s.polled+gain*(x-s.polled), (1-gain)*v
	}
	s.polledAt = b.now
}

// polledVar is the variance of the logarithm of the capacity that a server has reported.
func (b *Balancer) polledVar(s *server) float64 {
	return s.polledVar + reportWander*(b.now-s.polledAt).Seconds()
}

// sureOfUse is how much the use that a server reported still says, from 1 down to 0.
func (b *Balancer) sureOfUse(s *server) float64 {
	if s.usedAt == 0 {
		return 0
	}
	return math.Exp(-float64(b.now-s.usedAt) / (useTime * float64(b.horizon)))
}
