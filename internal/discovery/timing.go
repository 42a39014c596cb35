package discovery

import (
	"math/rand/v2"
	"time"
)

// The platform counts an agent as notified of a change notificationDeadline after discovery had it, or watchGrace after the end of a
// watch where that is later. By then a watch without an answer must have been given up and what it missed be here.
const (
	notificationDeadline = 6 * time.Second
	watchGrace           = 2 * time.Second
)

// WatchTimeout is how long a watch waits for a change, in a fleet that discovery keeps up with.
const WatchTimeout = notificationDeadline / 2

// MaxRetryInterval is the longest time between a failed request and the next one.
const MaxRetryInterval = notificationDeadline / 2

const (
	requestTimeout        = 1500 * time.Millisecond // of a request that is no watch
	firstListTimeout      = 500 * time.Millisecond  // of the first request, before the cached list is used
	minRetryInterval      = 500 * time.Millisecond  // after a first failure
	maxRetryDoublings     = 4                       // of that, with each further failure
	emptyWatchInterval    = 100 * time.Millisecond  // after a watch that ended early without a change
	processStallTolerance = 100 * time.Millisecond  // by which a timer may be late before the process counts as paused
)

// All agents of a fleet share one discovery, which serves requests in turn and rejects them when too many wait.
const (
	smallFleet           = 8                        // agents up to which nothing is spread
	retrySpreadPerAgent  = 10 * time.Millisecond    // within which the requests of a fleet come, for each agent
	maxStartSpread       = notificationDeadline / 6 // of the first requests
	watchTimeoutPerAgent = 50 * time.Millisecond    // of the longest watch, for each agent
	maxWatchTimeout      = time.Minute              // discovery's limit
	watchTimeoutJitter   = 0.25                     // fraction by which a watch is shorter, at random
	overloadDelay        = 100 * time.Millisecond   // past its timeout an answer shows that discovery is overloaded
	watchTimeoutIncrease = 2.0                      // factor after a late answer or a failure
	watchTimeoutDecrease = 0.985                    // factor after an answer in time
)

// FleetTiming says how the requests of a fleet are spread.
//
// Failure: agents that start or lose discovery together also return together; discovery rejects most of them, and they return together
// again. It shows as rejected requests at discovery after an outage. The guard holds because the requests of the fleet are spread
// over a time that grows with its size.
type FleetTiming struct {
	StartSpread     time.Duration // the first request comes within this time, if a list is cached
	RetrySpread     time.Duration // a request after a failed one comes within this time or the backoff, whichever is longer
	MaxWatchTimeout time.Duration // of a watch while discovery is overloaded
}

// FleetTimingFor is the timing of one agent in a fleet of so many.
func FleetTimingFor(agents int) FleetTiming {
	if agents <= smallFleet {
		return FleetTiming{MaxWatchTimeout: WatchTimeout}
	}
	spread := time.Duration(agents) * retrySpreadPerAgent
	watch := time.Duration(agents) * watchTimeoutPerAgent
	return FleetTiming{
		StartSpread:     min(maxStartSpread, spread),
		RetrySpread:     min(MaxRetryInterval, spread),
		MaxWatchTimeout: max(WatchTimeout, min(maxWatchTimeout, watch)),
	}
}

// backoff is the rule for how long to wait after failed requests: exponential, at least the fleet's spread.
type backoff struct {
	failures int // in a row
}

// interval is the longest time until the next request.
func (b *backoff) interval(timing FleetTiming) time.Duration {
	exponential := minRetryInterval << min(b.failures, maxRetryDoublings)
	return min(MaxRetryInterval, max(timing.RetrySpread, exponential))
}

// watchPacing is the rule for how long watches wait. They get longer while discovery is overloaded, which lowers its request rate, and
// slowly shorter while it answers in time. A watch that ends is followed by the next at once all the same.
type watchPacing struct {
	timeout time.Duration
}

// next is the timeout of the next watch. It is random: watches that end together at a change would else stay together.
func (p *watchPacing) next(rng *rand.Rand) time.Duration {
	return time.Duration((1 - watchTimeoutJitter*rng.Float64()) * float64(p.timeout))
}

// adapt changes the timeout after a watch. overloaded says that discovery failed or answered late.
func (p *watchPacing) adapt(overloaded bool, timing FleetTiming) {
	if overloaded {
		p.timeout = min(timing.MaxWatchTimeout, time.Duration(watchTimeoutIncrease*float64(p.timeout)))
		return
	}
	p.timeout = max(WatchTimeout, time.Duration(watchTimeoutDecrease*float64(p.timeout)))
}
