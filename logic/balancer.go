package logic

import (
	"math"
	"math/rand/v2"
	"time"
)

// ticksPerHorizon is how often health, overload and late attempts are looked at in a horizon.
const ticksPerHorizon = 8

// averageSampleWeight is the weight of a new sample in the moving averages that count samples, not time.
const averageSampleWeight = 0.05

// Tokens of the timers.
const (
	tickToken     uint64 = iota
	pollToken            // poll the endpoint list again
	deadlineToken        // plus the number of the timer, from 1: see deadlineTimer
)

// Balancer decides for one client process. It is a deterministic state machine: equal settings, seed and
// events give equal actions. It is not safe for concurrent use. A restart is a new Balancer.
type Balancer struct {
	settings Settings
	random   *rand.Rand
	horizon  time.Duration // the longest latency objective: the unit of the module's own times

	now          time.Duration // time of the event at hand
	actions      []Action      // result of the event at hand; reused by the next
	lastTick     time.Duration
	shuttingDown bool

	requests  map[string]*request // without a final answer, or with attempts in flight
	deadlines deadlineTimer
	retries   retryBudget

	endpoints    endpointSet
	candidates   candidateSet // of the selection at hand
	polling      discoveryPolling
	remembered   rememberedEndpoints
	baseline     baselineLatency
	healthChecks healthCheckBudget

	// loadReported says that answers carry load reports: capacities follow from them, not from latencies.
	loadReported bool
	// halfOpenIdempotency is the least harmful idempotency among the classes: only such requests are risked on
	// an ejected endpoint.
	halfOpenIdempotency Idempotency

	overload overloadEstimator
	quotas   tenantQuotas
	// meanPriority is the mean priority of the latest requests: weight over baseline latency. 0 before the
	// first.
	meanPriority float64
}

// New returns a Balancer whose random numbers follow from the seed alone. The error for settings that are not
// acceptable is a *SettingsError.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:            set,
		random:              rand.New(rand.NewPCG(seed, 0)),
		requests:            map[string]*request{},
		endpoints:           endpointSet{byID: map[string]*endpoint{}},
		remembered:          rememberedEndpoints{},
		retries:             newRetryBudget(set.Balancers),
		healthChecks:        healthCheckBudget{available: initialHealthChecks},
		quotas:              newTenantQuotas(set.TenantQuotas, set.OverQuotaWeight),
		halfOpenIdempotency: NonIdempotent,
	}
	for _, c := range set.Classes {
		b.baseline = append(b.baseline, initialBaseline(c))
		b.horizon = max(b.horizon, c.LatencyObjective)
		b.halfOpenIdempotency = min(b.halfOpenIdempotency, c.Idempotency)
	}
	return b, nil
}

// Start returns the actions of a new Balancer before its first event.
func (b *Balancer) Start(now time.Duration) []Action {
	b.now, b.actions = now, b.actions[:0]
	b.lastTick = now
	b.setTimer(tickToken, b.horizon/ticksPerHorizon)
	if b.settings.SubscriptionRequired {
		b.emit(Action{Kind: Subscribe})
	}
	return b.actions
}

// Handle takes one event and returns the actions that follow, in order. They are valid until the next call.
// An event about a request, attempt or endpoint that is not known has no effect. The time is that of a
// clock which all balancers and endpoints share, to a small part of a latency objective; no rule is broken
// where it is off by more.
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

// tick does the periodic work. Ejections come first, as overload is estimated without ejected endpoints,
// and overload before hedged requests and health checks, which depend on it. A timer may fire late, so the
// averages fade by the number of ticks that passed.
func (b *Balancer) tick() {
	b.setTimer(tickToken, b.horizon/ticksPerHorizon)
	ticks := max(1, math.Round(float64(b.now-b.lastTick)/float64(b.horizon/ticksPerHorizon)))
	b.lastTick = b.now
	b.ejectSilentEndpoints()
	b.fadeEstimates(ticks)
	b.updateOverload(ticks)
	b.hedgeLateRequests()
	b.startHealthChecks()
}

// Idle reports whether nothing is under way: no request is open or in flight, and no poll of the endpoint
// list is scheduled. Then timers may fire late, together with the next event.
func (b *Balancer) Idle() bool { return len(b.requests) == 0 && !b.polling.scheduled }

// seconds converts to the type of the clock.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
