package logic

import (
	"math"
	"time"
)

// Capacity: what each server can do, and how sure that is.

// report takes a server's word on its load: its rate over its utilisation is what it could do at most.
func (b *Balancer) report(s *server, r LoadReport) {
	if r.Utilization < 0 || r.RequestRate < 0 || s.coldShare(b) < 1 {
		return
	}
	b.reports = true
	keep := math.Exp(-float64(b.now-s.reported) / (reportTime * float64(b.horizon)))
	if s.reported == 0 {
		keep = 0
	}
	s.reported, s.busy = b.now, r.Utilization
	s.done = keep*s.done + (1-keep)*r.RequestRate
	s.util = keep*s.util + (1-keep)*r.Utilization
	if s.util > utilFloor {
		s.rate, s.trust = s.done/s.util, 1
	}
}

// ownRate learns from an own answer where no server reports by itself: by Little's law the own served
// rate over the own mean in flight is one over the mean time to an answer.
func (b *Balancer) ownRate(s *server, took time.Duration) {
	if b.reports || took <= 0 {
		return
	}
	s.known++
	s.took += max(learn, 1/s.known) * (took.Seconds() - s.took)
	s.rate, s.trust = 1/s.took, s.known/(s.known+prior)
}

// forget lets what is known of a server age.
func (b *Balancer) forget(s *server, passed float64) {
	if b.reports {
		s.trust *= math.Exp(-passed / ticks / reportTime)
		return
	}
	s.known *= math.Exp(-passed / ticks / knownTime)
	s.trust = s.known / (s.known + prior)
}

// doubt is the part of a server's capacity that rests on the mean of the others: 1 where nothing is known
// of it.
func (b *Balancer) doubt(s *server) float64 { return prior / (prior + s.known + b.polledCount(s)) }

// polledCount is what the capacity that a server reported says, in own answers that say as much.
func (b *Balancer) polledCount(s *server) float64 {
	if s.polledAt == 0 {
		return 0
	}
	return 1 / b.polledVar(s)
}

// weigh sets every server's weight for a request: its capacity at present. What is known of it by own
// answers and by reports counts by how much each says, and the mean of the others, for the server's size
// in the list, counts as some answers more: else one that once looked slow would get nothing to show
// better with, and stand idle, and a quiet balancer would lean on chance.
func (b *Balancer) weigh() {
	rate, size, polled, told := 0.0, 0.0, 0.0, 0.0
	for _, s := range b.servers {
		rate, size = rate+s.rate*s.trust, size+s.Weight*s.trust
		if n := b.polledCount(s); n > 0 {
			polled, told = polled+n*s.polled, told+n
		}
	}
	mean := 1.0
	if size > 0 {
		mean = rate / size
	}
	b.total, b.well = 0, 0
	spread := max(b.subset, b.crowd)
	for _, s := range b.servers {
		usual, warm := mean*s.Weight, s.coldShare(b)
		s.capacity = usual + (s.rate-usual)*s.trust
		if n := b.polledCount(s); n > 0 {
			s.capacity += (usual*math.Exp(s.polled-polled/told) - s.capacity) * n / (n + s.known + prior)
		}
		s.weight = s.capacity * warm * (1 - s.failing)
		if s.own = s.State == Ready && spread > 0; s.State != Ready {
			continue
		}
		if s.own {
			b.total += s.weight
		}
		if s.own && s.until == 0 {
			b.well, spread = b.well+s.weight, spread-1
		}
		if s.Zone == b.set.Zone && warm == 1 {
			s.weight *= 1 + nearTimes*b.set.CrossZoneCost*max(0, 1-s.util)
		}
	}
}

// coldShare is the part of its capacity that a server has at least, so long after its start.
func (s *server) coldShare(b *Balancer) float64 {
	age := b.now - s.StartedAt
	if s.StartedAt == 0 || age >= b.set.SlowStartWindow {
		return 1
	}
	from := b.set.SlowStartInitialFraction
	return from + (1-from)*max(0, float64(age)/float64(b.set.SlowStartWindow))
}
