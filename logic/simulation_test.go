package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulation drives a Balancer with random events of clients, endpoints and discovery, and checks each
// action against the rules. It shares no code with the package: it tracks the state itself, from events and
// actions alone.
type simulation struct {
	settings  Settings
	random    *rand.Rand
	now       time.Duration
	endpoints map[string]*simulatedEndpoint
	ids       []string // of all endpoints ever listed, in order
	requests  map[string]*simulatedRequest
	open      []string // requests without a final response, or with attempts in flight
	timers    []simulatedTimer

	violations   []string
	requestCount int // requests so far
	sends        int
	rejects      int
	fails        int
}

type simulatedEndpoint struct {
	Endpoint
	unavailableSince time.Duration // when the balancer was told that it is draining or removed; 0 while ready
}

type simulatedRequest struct {
	Request
	attempts []simulatedAttempt
	closed   bool
}

type simulatedAttempt struct {
	endpoint      *simulatedEndpoint
	zone          int
	cell          int
	sentAt        time.Duration
	inFlight      bool
	neverExecuted bool
	endsAt        time.Duration
	result        Result
}

type simulatedTimer struct {
	at    time.Duration
	token uint64
}

func newSimulation(settings Settings, seed uint64) *simulation {
	return &simulation{
		settings:  settings,
		random:    rand.New(rand.NewPCG(seed, 7)),
		now:       time.Hour,
		endpoints: map[string]*simulatedEndpoint{},
		requests:  map[string]*simulatedRequest{},
	}
}

// actionMutator modifies the actions before they are carried out.
type actionMutator func([]Action) []Action

// run simulates the given number of steps, each as long as the timer resolution, and then lets all requests
// end. load is the probability by which each further request arrives in a step.
func (s *simulation) run(t *testing.T, steps int, load float64, mutate actionMutator) *Balancer {
	t.Helper()
	b, err := New(s.settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.carryOut(b.Start(s.now))
	for i := range steps + int(s.longestTimeout()/s.settings.TimerResolution) + 4 {
		if i >= steps {
			load = 0
		}
		for _, event := range s.step(load) {
			actions := b.Handle(s.now, event())
			if mutate != nil {
				actions = mutate(actions)
			}
			s.carryOut(actions)
		}
	}
	return b
}

func (s *simulation) longestTimeout() (longest time.Duration) {
	for _, c := range s.settings.Classes {
		longest = max(longest, c.Timeout)
	}
	return longest
}

// step advances the clock and returns the events that are due, in order. The end of an attempt, a disconnect
// and a change of endpoints take effect on the simulation's state only when the event is called, because the
// balancer does not yet know about later events and its actions are checked against that state. New requests
// are recorded and due timers removed at once.
func (s *simulation) step(load float64) (events []func() Event) {
	s.now += s.settings.TimerResolution
	events = s.dueTimers()
	if s.random.Float64() < 0.02 {
		events = append(events, s.changeEndpoints)
	}
	stillOpen := s.open[:0]
	for _, id := range s.open {
		due, open := s.stepRequest(id)
		events = append(events, due...)
		if open {
			stillOpen = append(stillOpen, id)
		}
	}
	s.open = stillOpen
	for s.random.Float64() < load {
		events = append(events, s.newRequest())
	}
	return events
}

func (s *simulation) dueTimers() (events []func() Event) {
	pending := s.timers[:0]
	for _, timer := range s.timers {
		if timer.at > s.now {
			pending = append(pending, timer)
			continue
		}
		events = append(events, func() Event { return TimerFired{timer.token} })
	}
	s.timers = pending
	return events
}

// stepRequest returns the events of a request that are due, and whether it is still open.
func (s *simulation) stepRequest(id string) (events []func() Event, open bool) {
	r := s.requests[id]
	inFlight := false
	for i, a := range r.attempts {
		if a.inFlight && a.endsAt <= s.now {
			events = append(events, func() Event { return s.endAttempt(r, i) })
		}
		inFlight = inFlight || a.inFlight
	}
	if !r.closed && s.random.Float64() < 0.001 {
		events = append(events, func() Event {
			r.closed = true
			return ClientDisconnected{id}
		})
	}
	if !r.closed && s.now > r.Deadline+2*s.settings.TimerResolution {
		s.violation("no final response for %s", id)
		r.closed = true
	}
	return events, !r.closed || inFlight
}

func (s *simulation) endAttempt(r *simulatedRequest, attempt int) Event {
	a := &r.attempts[attempt]
	a.inFlight, a.neverExecuted = false, provesNoExecution(a.result)
	r.closed = r.closed || a.result == OK
	return Outcome{Request: r.ID, Attempt: attempt, Endpoint: a.endpoint.ID, Result: a.result,
		Latency: s.now - a.sentAt, Closed: r.closed, LoadReport: s.loadReport()}
}

// provesNoExecution states which results prove that a request was not executed. It deliberately does not
// use the package's own function.
func provesNoExecution(result Result) bool {
	return slices.Contains([]Result{Rejected, ConnectFailed, NotSent}, result)
}

func (s *simulation) loadReport() LoadReport {
	if s.random.Float64() < 0.3 {
		return NoLoadReport
	}
	return LoadReport{Utilization: s.random.Float64(), RequestRate: 100 * s.random.Float64()}
}

func (s *simulation) newRequest() func() Event {
	s.requestCount++
	class := s.random.IntN(len(s.settings.Classes))
	request := Request{ID: fmt.Sprint("r", s.requestCount), Class: class, Key: fmt.Sprint("k", s.random.IntN(20))}
	timeout := float64(s.settings.Classes[class].Timeout) * (0.3 + 0.7*s.random.Float64())
	request.Deadline = s.now + time.Duration(timeout)
	s.requests[request.ID] = &simulatedRequest{Request: request}
	s.open = append(s.open, request.ID)
	return func() Event { return request }
}

// changeEndpoints adds, restarts, drains or removes an endpoint, repeats the full list, or fails a poll of
// the list.
func (s *simulation) changeEndpoints() Event {
	switch {
	case s.random.Float64() < 0.1:
		return DiscoveryUnavailable{}
	case len(s.ids) < 3 || s.random.Float64() < 0.3:
		return s.addEndpoint()
	case s.random.Float64() < 0.2:
		return s.fullList()
	}
	e := s.endpoints[s.ids[s.random.IntN(len(s.ids))]]
	e.State = []EndpointState{Ready, Ready, Draining, Removed}[s.random.IntN(4)]
	switch {
	case e.State == Ready:
		e.StartedAt, e.unavailableSince = s.now, 0
	case e.unavailableSince == 0:
		e.unavailableSince = s.now
	}
	return EndpointList{Endpoints: []Endpoint{e.Endpoint}}
}

func (s *simulation) addEndpoint() Event {
	e := &simulatedEndpoint{Endpoint: Endpoint{ID: fmt.Sprint("s", len(s.ids)), Zone: s.random.IntN(2),
		Cell: s.random.IntN(3), Weight: 1 + s.random.Float64(), StartedAt: s.now}}
	s.endpoints[e.ID] = e
	s.ids = append(s.ids, e.ID)
	return EndpointList{Endpoints: []Endpoint{e.Endpoint}}
}

// fullList returns a full snapshot. Endpoints that it leaves out are removed.
func (s *simulation) fullList() Event {
	list := EndpointList{Full: true}
	for _, id := range s.ids {
		e := s.endpoints[id]
		if e.State == Removed || s.random.Float64() < 0.05 {
			e.State, e.unavailableSince = Removed, s.now
			continue
		}
		list.Endpoints = append(list.Endpoints, e.Endpoint)
	}
	return list
}

func (s *simulation) violation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("at %v: ", s.now)+fmt.Sprintf(format, args...))
}

// carryOut checks the actions and carries them out.
func (s *simulation) carryOut(actions []Action) {
	for _, a := range slices.Clone(actions) {
		r := s.requests[a.Request]
		if r == nil && (a.Kind == Send || a.Kind == Reject || a.Kind == Fail) {
			s.violation("action for unknown request %q", a.Request)
			continue
		}
		switch a.Kind {
		case SetTimer:
			s.timers = append(s.timers, simulatedTimer{s.now + a.Delay, a.Token})
		case Send:
			s.send(r, a.Endpoint)
		case Reject:
			s.rejects++
			s.checkReject(r)
			s.finish(r)
		case Fail:
			s.fails++
			s.finish(r)
		}
	}
}

func (s *simulation) send(r *simulatedRequest, id string) {
	s.sends++
	e := s.endpoints[id]
	if e == nil {
		s.violation("send to unknown endpoint %q", id)
		return
	}
	s.checkSend(r, e)
	s.checkRepeat(r, e)
	// An attempt ends early, late or at the deadline, with a random result.
	results := []Result{OK, OK, OK, OK, OK, Failed, Rejected, TimedOut, ConnectFailed, Reset}
	a := simulatedAttempt{endpoint: e, zone: e.Zone, cell: e.Cell, sentAt: s.now, inFlight: true,
		result: results[s.random.IntN(len(results))]}
	mean := float64(s.settings.Classes[r.Class].LatencyObjective) / 3
	a.endsAt = s.now + time.Duration(s.random.ExpFloat64()*mean) + time.Millisecond
	if a.endsAt > r.Deadline {
		a.endsAt, a.result = r.Deadline, TimedOut
	}
	r.attempts = append(r.attempts, a)
}

// checkSend checks the rules for all attempts.
func (s *simulation) checkSend(r *simulatedRequest, e *simulatedEndpoint) {
	if r.closed {
		s.violation("send for closed request %s", r.ID)
	}
	if e.unavailableSince != 0 {
		s.violation("send to %s, which is draining or removed", e.ID)
	}
	if len(r.attempts) >= s.settings.MaxAttempts {
		s.violation("attempt %d exceeds the maximum of %d", len(r.attempts)+1, s.settings.MaxAttempts)
	}
	inFlight := 0
	for _, a := range r.attempts {
		if a.inFlight {
			inFlight++
		}
	}
	if inFlight > 1 || inFlight == 1 && !s.settings.HedgingAllowed {
		s.violation("send with %d attempts in flight already", inFlight)
	}
}

// checkRepeat checks the rules for an attempt that follows one that may have been executed.
func (s *simulation) checkRepeat(r *simulatedRequest, e *simulatedEndpoint) {
	class := s.settings.Classes[r.Class]
	var first *simulatedAttempt
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.neverExecuted {
			continue
		}
		if first == nil {
			first = a
		}
		switch {
		case class.Idempotency == NonIdempotent:
			s.violation("a non-idempotent request is repeated")
		case class.Idempotency == IdempotentWithKey && class.DedupScope == DedupZone && a.zone != e.Zone,
			class.Idempotency == IdempotentWithKey && class.DedupScope == DedupCell && a.cell != e.Cell:
			s.violation("a keyed request leaves its deduplication scope")
		}
	}
	if class.Idempotency == IdempotentWithKey && first != nil && s.now-first.sentAt >= class.IdempotencyWindow {
		s.violation("a keyed request is repeated after its idempotency window")
	}
}

// checkReject checks that the client can safely try again after a Reject.
func (s *simulation) checkReject(r *simulatedRequest) {
	class := s.settings.Classes[r.Class]
	harmful := class.Idempotency == NonIdempotent ||
		class.Idempotency == IdempotentWithKey && class.DedupScope != DedupFleet
	for _, a := range r.attempts {
		if !a.neverExecuted && harmful {
			s.violation("a request that may have been executed is rejected")
			return
		}
	}
}

func (s *simulation) finish(r *simulatedRequest) {
	if r.closed {
		s.violation("a second final response for %s", r.ID)
	}
	if s.now > r.Deadline+2*s.settings.TimerResolution {
		s.violation("a final response %v after the deadline", s.now-r.Deadline)
	}
	r.closed = true
}

// randomSettings returns random settings that validate accepts. It leaves the following at their zero value:
// BalancerIndex, the limits on poll intervals, SlowStartOverloadFactor, the tenants' quotas,
// ExternalAdmission, and both limits on health checks, so that none are sent.
func randomSettings(random *rand.Rand) Settings {
	settings := Settings{
		Balancers:                1 + random.IntN(5),
		TimerResolution:          5 * time.Millisecond,
		Zone:                     random.IntN(2),
		CrossZoneCost:            0.1 * float64(random.IntN(2)),
		UseListedWeights:         random.IntN(2) == 0,
		SubscriptionRequired:     random.IntN(2) == 0,
		KeyAffinity:              random.IntN(2) == 0,
		MaxAttempts:              1 + random.IntN(5),
		HedgingAllowed:           random.IntN(2) == 0,
		SlowStartInitialFraction: 0.3,
		SlowStartWindow:          5 * time.Second,
		MaxRetryAfter:            time.Second,
	}
	for i := range 1 + random.IntN(3) {
		objective := time.Duration(100+random.IntN(900)) * time.Millisecond
		settings.Classes = append(settings.Classes, Class{
			Name:              fmt.Sprint("c", i),
			Idempotency:       Idempotency(random.IntN(3)),
			DedupScope:        DedupScope(random.IntN(3)),
			IdempotencyWindow: objective,
			LatencyObjective:  objective,
			Timeout:           3 * objective,
			PriorityWeight:    1 + 9*random.Float64(),
		})
	}
	return settings
}
