package node

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// tickInterval is how often the model looks at what changes steadily: the ramp of a cold node, a choke, its load.
const tickInterval = 100 * time.Millisecond

// Work is a request at a node.
type Work struct {
	Ticket     uint64 // the caller's own number for it, never used twice
	Key        string
	Cost       time.Duration // on a core of speed 1
	Deadline   time.Duration // when its client stops waiting; 0 for never
	Unnotified bool          // who sent it had not been told that the node has started anew
}

// Verdict is what a node does with a request that has come.
type Verdict int

// The verdicts.
const (
	Accepted   Verdict = iota // Done tells how it ends
	Rejected                  // unseen: full, draining or over
	FailedFast                // an error at once; Ran says whether it took effect before
	ConnReset                 // its connection breaks; Ran likewise
	NoResponse                // nothing will ever be said
)

// ResponseForm is how an answer comes out.
type ResponseForm int

// The forms of an answer.
const (
	Intact    ResponseForm = iota
	Malformed              // can't be read
	Oversized              // is said to be far longer than any answer may be
)

// Completion is the end of work that was accepted.
type Completion struct {
	Ticket   uint64
	At       time.Duration // when the answer goes out: later than the end of the work in a trouble
	OK       bool          // false for an error
	Expired  bool          // its time was over before a slot was free: never ran
	Form     ResponseForm
	WorkDone time.Duration // work that went into it
}

// Figures count what a node has done.
type Figures struct {
	Offered, Rejected, Failed, Served, Expired, Cancelled int
	HealthChecks, Handshakes                              int
	Work, Wasted                                          time.Duration // done in all; and for answers that nobody got
	Degradations                                          int
	SlowStartPeak                                         float64 // the most that it was sent by those who knew it to be cold, of what topples it; chance aside
}

// Add adds up the figures of two lives.
func (f Figures) Add(g Figures) Figures {
	f.Offered, f.Rejected, f.Failed, f.Served = f.Offered+g.Offered, f.Rejected+g.Rejected, f.Failed+g.Failed, f.Served+g.Served
	f.Expired, f.Cancelled, f.HealthChecks = f.Expired+g.Expired, f.Cancelled+g.Cancelled, f.HealthChecks+g.HealthChecks
	f.Handshakes, f.Degradations = f.Handshakes+g.Handshakes, f.Degradations+g.Degradations
	f.Work, f.Wasted = f.Work+g.Work, f.Wasted+g.Wasted
	f.SlowStartPeak = max(f.SlowStartPeak, g.SlowStartPeak)
	return f
}

type workItem struct {
	Work
	remaining, workDone float64 // seconds on a core of speed 1
}

// Node is one life of an order node. It is not safe for concurrent use. Times never go back.
type Node struct {
	Spec
	rng         *rand.Rand
	now         time.Duration
	running     []*workItem
	queue       []*workItem
	completions []Completion
	started     []uint64
	faults      []Fault
	conns       int
	figures     Figures

	lastTick            time.Duration
	recentRejections    []time.Duration // the latest ones turned away
	overloadedSince     time.Duration   // since when it is under pressure; below 0 when not
	degradedSince       time.Duration   // since when; below 0 when not
	idleSince           time.Duration   // since when it rests; below 0 when not
	smoothedUtilization float64         // smoothed share of its cores in use
	overloaded          bool
	overloadAvoidable   bool             // and those who were told that it is cold did it
	slowStartOffers     []slowStartOffer // to a cold node, in the latest FallFor
	recentKeys          map[string]time.Duration
	recentHealthChecks  []time.Duration // the latest second's
	visibleReading      reading
	reportCoreSeconds   float64 // core-seconds in use since the last reading
	tickCoreSeconds     float64 // and since the last tick
	reportCompleted     int     // since the last reading
	pendingReadings     []reading
}

type slowStartOffer struct {
	at         time.Duration
	work       float64
	unnotified bool
}

// reading is a load report. Seen is when it can be seen.
type reading struct {
	takenAt, visibleAt time.Duration
	rate, utilization  float64
}

// New returns a node that nothing is wrong with yet. The spec must pass Check.
func New(spec Spec, seed uint64) *Node {
	return &Node{Spec: spec, rng: rand.New(rand.NewPCG(seed, 0x6e6f6465)), overloadedSince: -1, degradedSince: -1, idleSince: -1,
		recentKeys: map[string]time.Duration{}}
}

// AddFault adds a trouble, which must pass its Check.
func (n *Node) AddFault(t Fault) { n.faults = append(n.faults, t) }

// Figures returns the counts so far.
func (n *Node) Figures() Figures { return n.figures }

// Overloaded reports whether the node was pushed over while cold. It stays down.
func (n *Node) Overloaded() bool { return n.overloaded }

// OverloadWasAvoidable reports whether at least blameFrom of what pushed it over came from those who had been told that it is cold.
func (n *Node) OverloadWasAvoidable() bool { return n.overloadAvoidable }

// avoidableFraction is the platform's: below it nobody could have known.
const avoidableFraction = 2.0 / 3

// Degraded reports whether it is slow after an overload.
func (n *Node) Degraded() bool { return n.degradedSince >= 0 }

// InFlight is what it holds: in work and waiting.
func (n *Node) InFlight() int { return len(n.running) + len(n.queue) }

// Backlog is how long a core would be busy with what the node holds, at its present pace, shared among its cores.
func (n *Node) Backlog() time.Duration {
	unit := n.coreSpeed()
	if unit <= 0 {
		return time.Hour
	}
	work := 0.0
	for _, it := range n.running {
		work += it.remaining
	}
	for _, it := range n.queue {
		work += it.Cost.Seconds()
	}
	return time.Duration(work / unit / float64(n.Cores) * 1e9)
}

// HasCapacity reports whether another request would find a place.
func (n *Node) HasCapacity() bool {
	return len(n.queue) < int(float64(n.Cores)*n.QueuePerCore) || !n.slotsFull()
}

// Waiting is how many requests wait for a slot.
func (n *Node) Waiting() int { return len(n.queue) }

// SlowStartFraction is the share of its capacity that a node has for its age.
func (n *Node) SlowStartFraction() float64 {
	age := n.now - n.Started
	if n.Started < 0 || age >= n.SlowStartWindow {
		return 1
	}
	return n.SlowStartInitialFraction + (1-n.SlowStartInitialFraction)*max(0, float64(age)/float64(n.SlowStartWindow))
}

// Capacity is the work it can do a second at present, crowding aside.
func (n *Node) Capacity() float64 { return float64(n.Cores) * n.coreSpeed() }

// coreSpeed is the speed of a core at present, before what crowding costs.
func (n *Node) coreSpeed() float64 {
	if n.overloaded {
		return 0
	}
	speed := n.Speed * n.SlowStartFraction() * (1 - n.faultSize(NoisyNeighbor)) / max(1, n.faultSize(Slow))
	if n.degradedSince >= 0 {
		speed /= n.Degradation.SlowdownFactor
	}
	if n.ConnCap > 0 {
		speed *= 1 - n.ConnOverhead*float64(min(n.conns, n.ConnCap))/float64(n.ConnCap)
	}
	return speed
}

// slotRate is the work that each request in a slot gets done a second.
func (n *Node) slotRate() float64 {
	if len(n.running) == 0 {
		return 0
	}
	pace := n.coreSpeed() * min(1, float64(n.Cores)/float64(len(n.running)))
	if held := float64(n.InFlight()) / float64(n.Cores); n.ContentionThreshold > 0 && held > n.ContentionThreshold {
		pace *= 1 - n.ContentionLoss*min(1, (held-n.ContentionThreshold)/n.ContentionThreshold)
	}
	return pace
}

// NextEvent is when Advance has to be called next at the latest.
func (n *Node) NextEvent() time.Duration {
	next := n.lastTick + tickInterval
	if pace := n.slotRate(); pace > 0 {
		least := math.Inf(1)
		for _, it := range n.running {
			least = min(least, it.remaining)
		}
		next = min(next, n.now+max(1, time.Duration(math.Ceil(least/pace*1e9))))
	}
	for _, t := range n.faults {
		if at := t.nextChange(n.now); at > 0 {
			next = min(next, at)
		}
	}
	return next
}

// Advance lets time pass and returns what has ended since the last call, in order.
func (n *Node) Advance(now time.Duration) []Completion {
	n.advanceTo(now)
	out := n.completions
	n.completions = nil
	return out
}

// advanceTo lets time pass, and keeps what ends for the next Advance.
func (n *Node) advanceTo(now time.Duration) {
	for next := n.NextEvent(); next <= now; next = n.NextEvent() {
		n.advanceBy(next)
	}
	if now > n.now {
		n.advanceBy(now)
	}
}

// TakeStarted returns the tickets whose work began since the last call: from then on they may have taken effect.
func (n *Node) TakeStarted() []uint64 {
	out := n.started
	n.started = nil
	return out
}

// advanceBy lets time pass to a moment before which nothing else happens.
func (n *Node) advanceBy(to time.Duration) {
	span, pace := (to - n.now).Seconds(), n.slotRate()
	for _, it := range n.running {
		it.remaining -= span * pace
		it.workDone += span * pace
	}
	used := span * float64(min(len(n.running), n.Cores))
	n.reportCoreSeconds, n.tickCoreSeconds = n.reportCoreSeconds+used, n.tickCoreSeconds+used
	n.now = to
	for i := 0; i < len(n.running); {
		if it := n.running[i]; it.remaining <= 1e-9 {
			n.running = slices.Delete(n.running, i, i+1)
			n.complete(it)
			continue
		}
		i++
	}
	if n.now >= n.lastTick+tickInterval {
		n.onTick()
	}
	n.startQueued()
}

// complete ends work that is done.
func (n *Node) complete(it *workItem) {
	used := time.Duration(it.workDone * 1e9)
	n.figures.Work += used
	n.reportCompleted++
	d := Completion{Ticket: it.Ticket, At: n.now, OK: !n.draw(n.ErrorRate), WorkDone: used}
	if d.OK {
		n.figures.Served++
	} else {
		n.figures.Failed++
		n.figures.Wasted += used
	}
	switch {
	case n.draw(n.faultSize(MalformedResponse)):
		d.Form = Malformed
	case n.draw(n.faultSize(OversizedResponse)):
		d.Form = Oversized
	}
	d.At += time.Duration(n.faultSize(DelayedResponse) * 1e9)
	n.rememberKey(it.Key)
	n.completions = append(n.completions, d)
}

// rememberKey notes that a key was met, and forgets the oldest beyond the bound.
func (n *Node) rememberKey(key string) {
	if key == "" || n.Affinity.MaxKeys == 0 {
		return
	}
	n.recentKeys[key] = n.now
	if len(n.recentKeys) <= n.Affinity.MaxKeys {
		return
	}
	oldest, at := "", time.Duration(math.MaxInt64)
	for k, t := range n.recentKeys {
		if t < at || t == at && k < oldest {
			oldest, at = k, t
		}
	}
	delete(n.recentKeys, oldest)
}

// startQueued gives free slots to what waits.
func (n *Node) startQueued() {
	slots := max(1, int(float64(n.Cores)*n.SlotsPerCore))
	for len(n.running) < slots && len(n.queue) > 0 {
		it := n.queue[0]
		n.queue = n.queue[1:]
		if it.Deadline > 0 && n.now >= it.Deadline && !n.RunsExpired {
			n.figures.Expired++
			n.completions = append(n.completions, Completion{Ticket: it.Ticket, At: n.now, Expired: true})
			continue
		}
		work := it.Cost.Seconds() * max(0.05, 1+n.WorkNoise*n.rng.NormFloat64())
		if at, ok := n.recentKeys[it.Key]; ok && it.Key != "" && n.now-at < n.Affinity.TTL {
			work *= 1 - n.Affinity.Saving
		}
		it.remaining = work
		n.running = append(n.running, it)
		n.started = append(n.started, it.Ticket)
	}
}

// Offer brings a request whose last byte has come. ran tells of a request that was not accepted whether it took effect.
func (n *Node) Offer(now time.Duration, w Work) (v Verdict, ran bool) {
	n.advanceTo(now)
	n.figures.Offered++
	n.countSlowStartWork(w)
	switch {
	case n.overloaded, n.faultActive(Blackhole):
		return NoResponse, false
	case n.faultActive(Drain) || w.Deadline > 0 && now >= w.Deadline || !n.HasCapacity():
		n.figures.Rejected++
		n.recentRejections = append(n.recentRejections, now)
		return Rejected, false
	case n.draw(n.faultSize(FastFail)):
		n.figures.Failed++
		return FailedFast, n.draw(0.5)
	case n.draw(n.faultSize(ResetConn)):
		n.figures.Failed++
		return ConnReset, n.draw(0.5)
	}
	n.queue = append(n.queue, &workItem{Work: w})
	n.startQueued()
	return Accepted, false
}

func (n *Node) slotsFull() bool {
	return len(n.running) >= max(1, int(float64(n.Cores)*n.SlotsPerCore))
}

// countSlowStartWork adds what is sent to a cold node to its budget: more than Overload times its capacity over any FallFor topples it.
// Three requests of slack stand for chance.
func (n *Node) countSlowStartWork(w Work) {
	if n.SlowStartOverloadFactor == 0 || n.SlowStartFraction() == 1 || n.overloaded {
		n.slowStartOffers = nil
		return
	}
	n.slowStartOffers = append(n.slowStartOffers, slowStartOffer{n.now, w.Cost.Seconds(), w.Unnotified})
	for n.slowStartOffers[0].at <= n.now-n.OverloadWindow {
		n.slowStartOffers = n.slowStartOffers[1:]
	}
	sum, said, largest := 0.0, 0.0, 0.0
	for _, o := range n.slowStartOffers {
		sum, largest = sum+o.work, max(largest, o.work)
		if !o.unnotified {
			said += o.work
		}
	}
	budget := n.SlowStartOverloadFactor * float64(n.Cores) * n.Speed * n.SlowStartFraction() * n.OverloadWindow.Seconds()
	if said >= avoidableFraction*sum {
		n.figures.SlowStartPeak = max(n.figures.SlowStartPeak, (sum-3*largest)/budget)
	}
	if sum > budget+3*largest {
		n.overloaded, n.overloadAvoidable = true, said >= avoidableFraction*sum
		n.running, n.queue = nil, nil
	}
}

// Cancel tells that the client of a request has left. Work that has not begun is dropped.
func (n *Node) Cancel(now time.Duration, ticket uint64) {
	n.advanceTo(now)
	same := func(it *workItem) bool { return it.Ticket == ticket }
	if i := slices.IndexFunc(n.queue, same); i >= 0 {
		n.queue = slices.Delete(n.queue, i, i+1)
		n.figures.Cancelled++
		return
	}
	if i := slices.IndexFunc(n.running, same); i >= 0 && !n.RunsCancelled {
		used := time.Duration(n.running[i].workDone * 1e9)
		n.figures.Work += used
		n.figures.Wasted += used
		n.figures.Cancelled++
		n.running = slices.Delete(n.running, i, i+1)
		n.startQueued()
	}
}

// addOverhead is work beside the requests. It delays them where no core is free for it.
func (n *Node) addOverhead(work time.Duration) {
	if len(n.running) < n.Cores {
		return
	}
	for _, it := range n.running {
		it.remaining += work.Seconds() / float64(len(n.running))
	}
}

// ConnDecision is what a node does with a new connection.
type ConnDecision int

// The welcomes.
const (
	ConnAccepted  ConnDecision = iota
	ConnTableFull              // its requests are turned away unseen
	ConnRefused                // it is reset at once
)

// Connect brings a new connection. One that is admitted ends with Disconnect.
func (n *Node) Connect(now time.Duration) ConnDecision {
	n.advanceTo(now)
	switch {
	case n.faultActive(Flap):
		return ConnRefused
	case n.ConnCap > 0 && n.conns >= n.ConnCap:
		return ConnTableFull
	}
	n.conns++
	n.figures.Handshakes++
	n.addOverhead(n.HandshakeWork)
	return ConnAccepted
}

// Disconnect tells that a connection has ended.
func (n *Node) Disconnect(now time.Duration) {
	n.advanceTo(now)
	n.conns--
}

// Unresponsive reports whether the node says nothing to anybody at present.
func (n *Node) Unresponsive() bool { return n.overloaded || n.faultActive(Blackhole) }

// CloseIdle draws whether a connection that has been idle for this long since the last call is closed by the node.
func (n *Node) CloseIdle(span time.Duration) bool {
	return n.draw(1 - math.Pow(1-min(1, n.faultSize(IdleClose)), span.Seconds()))
}

// Conns is how many connections it holds.
func (n *Node) Conns() int { return n.conns }
