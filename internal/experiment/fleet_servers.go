package experiment

import (
	"math"
	"time"

	"ryeweir/internal/pool"
)

// fleetServer is a server that executes work on its cores in the order of arrival.
type fleetServer struct {
	coreFreeAt      []time.Duration // by core: when it has finished its work
	started         time.Duration   // time of the restart; 0: none so far
	partitionedFrom time.Duration   // no packet passes from then until partitionedTo
	partitionedTo   time.Duration
	handshakeTime   time.Duration // CPU time of handshakes within restartObservation after the restart
}

// fleetConn is the server's end of a connection.
type fleetConn struct {
	opened   time.Duration
	closesAt time.Duration // when the server closes the connection if no further request is sent on it
}

// capacity returns the CPU time, in seconds, that a server has from its restart until over has passed.
func (f *fleetModel) capacity(from, over time.Duration) float64 {
	sum := 0.0
	for t := time.Duration(0); t < over; t += 10 * time.Millisecond {
		sum += f.speedFraction(t) * 0.01
	}
	return sum * float64(f.spec.Cores)
}

// speedFraction returns the speed of a server at an age since its restart, as a fraction of its full speed.
func (f *fleetModel) speedFraction(age time.Duration) float64 {
	if f.spec.SlowStartWindow <= 0 || age >= f.spec.SlowStartWindow.D() {
		return 1
	}
	return f.spec.SlowStartInitialFraction + (1-f.spec.SlowStartInitialFraction)*float64(age)/float64(f.spec.SlowStartWindow.D())
}

// restart restarts the first server. All agents are notified at once.
func (f *fleetModel) restart() {
	s := f.servers[0]
	s.started = f.now
	for i := range s.coreFreeAt {
		s.coreFreeAt[i] = f.now
	}
	for _, a := range f.agents {
		for i, at := range a.servers {
			if at == s {
				f.apply(a, a.table.Retire(f.now, a.nodes[i]))
				a.nodes[i] = a.table.AddEndpoint(f.now, "0", "", f.now)
				f.apply(a, a.table.SetReady(f.now, a.nodes[i], true))
			}
		}
	}
}

// serverOf returns the server of an endpoint in an agent's table, or nil if the endpoint has been retired.
func (f *fleetModel) serverOf(a *fleetAgent, n *pool.Endpoint) *fleetServer {
	for i, have := range a.nodes {
		if have == n {
			return a.servers[i]
		}
	}
	return nil // the endpoint is the server's incarnation before the restart
}

// process executes work of amount CPU time on the core that is free first, not before from. It returns when the work is done.
func (f *fleetModel) process(s *fleetServer, from, amount time.Duration) time.Duration {
	core := 0
	for i := range s.coreFreeAt {
		if s.coreFreeAt[i] < s.coreFreeAt[core] {
			core = i
		}
	}
	begin := max(from, s.coreFreeAt[core])
	speed := 1.0
	if s.started > 0 {
		speed = f.speedFraction(begin - s.started)
	}
	s.coreFreeAt[core] = begin + time.Duration(float64(amount)/speed)
	return s.coreFreeAt[core]
}

// open begins a handshake. It fails after 100 ms if the server is partitioned or the endpoint retired.
func (f *fleetModel) open(agent *fleetAgent, slot *pool.Slot) {
	f.totals.handshakes++
	server := f.serverOf(agent, slot.Endpoint)
	if server == nil || f.now >= server.partitionedFrom && f.now < server.partitionedTo {
		f.schedule(f.now+100*time.Millisecond, func() { f.apply(agent, agent.table.HandshakeFailed(f.now, slot, false)) })
		return
	}
	if server.started > 0 && f.now-server.started < restartObservation {
		f.handshakesPerWindow[f.now/peakWindow]++
		server.handshakeTime += f.spec.Handshake.D()
	}
	done := f.process(server, f.now+f.spec.RTT.D()/2, f.spec.Handshake.D())
	f.schedule(done+f.spec.RTT.D()/2, func() {
		agent.conns[slot] = &fleetConn{opened: f.now}
		f.scheduleIdleClose(agent.conns[slot])
		f.apply(agent, agent.table.HandshakeSucceeded(f.now, slot))
	})
}

// scheduleIdleClose sets when the server will close a connection that is idle from now on.
func (f *fleetModel) scheduleIdleClose(conn *fleetConn) {
	conn.closesAt = f.now + f.spec.IdleTimeout.D()
	if f.spec.ActualIdleTimeout > 0 {
		conn.closesAt = f.now + f.spec.ActualIdleTimeout.D()
	}
	if f.spec.RandomCloseRate > 0 {
		conn.closesAt = min(conn.closesAt, f.now+time.Duration(f.rng.ExpFloat64()/f.spec.RandomCloseRate*float64(time.Second)))
	}
}

// transmit sends a request on a connection, and schedules the end of the request, which releases the connection.
func (f *fleetModel) transmit(agent *fleetAgent, slot *pool.Slot, request *fleetRequest) {
	server, conn := f.serverOf(agent, slot.Endpoint), agent.conns[slot]
	oneWay := f.spec.RTT.D() / 2
	finish := func(after time.Duration, outcome pool.ReleaseOutcome) {
		f.schedule(f.now+after, func() {
			if outcome == pool.Reusable {
				f.latencies = append(f.latencies, (f.now - request.at).Seconds())
				f.scheduleIdleClose(conn)
			}
			f.apply(agent, agent.table.Release(f.now, slot, outcome))
		})
	}
	switch {
	case server == nil:
		finish(oneWay, pool.Broken)
	case f.now >= server.partitionedFrom && f.now < server.partitionedTo || conn.opened < server.partitionedFrom && f.now >= server.partitionedTo && server.partitionedTo > 0:
		if f.now >= server.partitionedTo {
			f.totals.timedOutAfterCut++
		}
		finish(f.spec.ClientTimeout.D(), pool.Broken)
	case conn.closesAt < f.now+oneWay: // the server closes the connection while the request is on its way
		f.totals.crossed++
		if request.nonIdempotent {
			f.totals.crossedNonIdempotent++
		}
		finish(2*oneWay, pool.ClosedByServer)
	default:
		amount := time.Duration(f.rng.ExpFloat64() * float64(f.spec.Work.D()))
		done := f.process(server, f.now+oneWay, amount)
		conn.closesAt = time.Duration(math.MaxInt64) // in use
		finish(done+oneWay-f.now, pool.Reusable)
	}
}
