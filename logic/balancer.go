package logic

import (
	"math"
	"math/rand/v2"
	"time"
)

// ticksPerHorizon is the number of ticks per horizon. Each tick checks for unresponsive endpoints, overload
// and late attempts.
const ticksPerHorizon = 8

// movingAverageWeight is the weight of a new sample in moving averages that count samples, not time: the
// time between two samples does not affect it. In responseLatency it is the minimum weight. A new sample
// weighs more there while the number of samples, which decays with time, is small.
const movingAverageWeight = 0.05

// Tokens of the timers.
const (
	tickToken     uint64 = iota
	pollToken            // poll the endpoint list again
	deadlineToken        // plus the number of the timer, which starts at 1; see deadlineTimer
)

// Balancer makes the decisions for one client process. It is a deterministic state machine: equal settings,
// seeds and events give equal actions. It is not safe for concurrent use. It can't be restarted; a
// restarted process creates a new Balancer.
type Balancer struct {
	settings Settings
	random   *rand.Rand
	horizon  time.Duration // the longest latency objective; the unit of the package's time constants

	now          time.Duration // time of the current event
	actions      []Action      // result of the current event; the slice is reused by the next one
	lastTick     time.Duration
	shuttingDown bool

	requests    map[string]*request // without a final response, or with attempts in flight
	deadlines   deadlineTimer
	retryBudget retryBudget

	endpoints         endpointSet
	candidates        candidateSet // of the current selection
	polling           discoveryPolling
	remembered        rememberedEndpoints
	baseline          baselineLatency
	healthCheckBudget healthCheckBudget

	// loadReported is whether responses carry load reports. If they do, capacities are estimated from them
	// and not from latencies.
	loadReported bool
	// halfOpenIdempotency is the idempotency of the classes that is safest to repeat. Only requests of this
	// idempotency are sent to an ejected endpoint to test it.
	halfOpenIdempotency Idempotency

	overload overloadEstimator
	quotas   tenantQuotas
	// meanPriority is the mean priority of recent requests, where priority is weight divided by baseline
	// latency. 0 before the first request.
	meanPriority float64
}

// New returns a Balancer that derives its random numbers from the seed alone. If a setting is invalid, the
// error is a *SettingsError.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:            settings,
		random:              rand.New(rand.NewPCG(seed, 0)),
		requests:            map[string]*request{},
		endpoints:           endpointSet{byID: map[string]*endpoint{}},
		remembered:          rememberedEndpoints{},
		retryBudget:         newRetryBudget(settings.Balancers),
		healthCheckBudget:   healthCheckBudget{available: initialHealthCheckBudget},
		quotas:              newTenantQuotas(settings.TenantQuotas, settings.OverQuotaWeight),
		halfOpenIdempotency: NonIdempotent,
	}
	for _, c := range settings.Classes {
		b.baseline = append(b.baseline, initialBaseline(c))
		b.horizon = max(b.horizon, c.LatencyObjective)
		b.halfOpenIdempotency = min(b.halfOpenIdempotency, c.Idempotency)
	}
	return b, nil
}

// Start returns the initial actions of a new Balancer. It must be called before the first Handle.
func (b *Balancer) Start(now time.Duration) []Action {
	b.now, b.actions = now, b.actions[:0]
	b.lastTick = now
	b.setTimer(tickToken, b.horizon/ticksPerHorizon)
	if b.settings.SubscriptionRequired {
		b.emit(Action{Kind: Subscribe})
	}
	return b.actions
}

// Handle processes one event and returns the resulting actions in order. The slice is valid until the next
// call. An event for an unknown request, attempt or endpoint has no effect.
//
// The clock must agree with those of all balancers and endpoints to within a small fraction of a latency
// objective. A larger difference impairs decisions but violates no rule.
func (b *Balancer) Handle(now time.Duration, event Event) []Action {
	b.now, b.actions = now, b.actions[:0]
	switch e := event.(type) {
	case EndpointList:
		b.applyEndpointList(e)
	case DiscoveryUnavailable:
		b.scheduleNextPoll()
	case Request:
		b.handleRequest(e)
	case BodyReceived:
		b.handleBodyReceived(e)
	case Outcome:
		b.handleOutcome(e)
	case ResponseUnderWay:
		b.handleResponseUnderWay(e)
	case ResponseStarted:
		b.closeByID(e.Request)
	case ClientDisconnected:
		b.closeByID(e.Request)
	case Shutdown:
		b.shutDown()
	case HealthChecked:
		b.handleHealthCheck(e)
	case PeerReport:
		b.handlePeerReport(e)
	case TimerFired:
		b.handleTimer(e.Token)
	}
	return b.actions
}

func (b *Balancer) handleTimer(token uint64) {
	switch token {
	case tickToken:
		b.tick()
	case pollToken:
		b.polling.scheduled = false
		b.emit(Action{Kind: Subscribe})
	case b.deadlines.latestToken():
		b.expireRequests()
	}
}

// tick does the periodic work. The order matters: overload is estimated without the ejected endpoints, so
// ejections come first, and hedged requests and health checks depend on the overload, so they come last. A
// timer may fire late, so averages decay by the number of ticks that have passed.
func (b *Balancer) tick() {
	b.setTimer(tickToken, b.horizon/ticksPerHorizon)
	ticks := max(1, math.Round(float64(b.now-b.lastTick)/float64(b.horizon/ticksPerHorizon)))
	b.lastTick = b.now
	b.ejectUnresponsiveEndpoints()
	b.decayEstimates(ticks)
	b.updateOverload(ticks)
	b.hedgeLateRequests()
	b.startHealthChecks()
}

// Idle reports whether no request is open or in flight and no poll of the endpoint list is scheduled. While
// it is true, the owner may deliver timers late, together with the next event.
func (b *Balancer) Idle() bool { return len(b.requests) == 0 && !b.polling.scheduled }

// seconds converts a number of seconds to a time.Duration.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
