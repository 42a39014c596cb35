package discovery

import (
	"math/rand/v2"
	"time"
)

// The platform assumes that an agent knows of a change notificationDeadline after discovery had it, or watchGrace after the end of a
// watch if that is later. By then a watch that got no response must have been canceled and the missed changes received.
const (
	notificationDeadline = 6 * time.Second
	watchGrace           = 2 * time.Second
)

// WatchTimeout is how long a watch waits for a change while discovery is not overloaded.
const WatchTimeout = notificationDeadline / 2

// MaxRetryInterval is the longest time between a failed request and the next one.
const MaxRetryInterval = notificationDeadline / 2

const (
	requestTimeout        = 1500 * time.Millisecond // for a request that is not a watch
	firstListTimeout      = 500 * time.Millisecond  // for the first request; after that the cached list is used
	minRetryInterval      = 500 * time.Millisecond  // backoff after the first failure
	maxRetryDoublings     = 4                       // the backoff doubles with each further failure, up to this many times
	emptyWatchInterval    = 100 * time.Millisecond  // pause after a watch that ended early without a change
	processStallTolerance = 100 * time.Millisecond  // a timer that is later than this means that the process was paused
)

// All agents of a fleet share one discovery service, which serves requests in order and rejects them when its queue is full.
const (
	smallFleet           = 8                        // largest number of agents whose requests are not spread
	retrySpreadPerAgent  = 10 * time.Millisecond    // first requests and retries of a fleet are spread over this time per agent
	maxStartSpread       = notificationDeadline / 6 // limit of the time over which first requests are spread
	watchTimeoutPerAgent = 50 * time.Millisecond    // the longest watch grows with the fleet by this much per agent
	maxWatchTimeout      = time.Minute              // limit that discovery sets
	watchTimeoutJitter   = 0.25                     // a watch is shorter by a random fraction up to this
	overloadDelay        = 100 * time.Millisecond   // a response this long after the watch timeout shows overload of discovery
	watchTimeoutIncrease = 2.0                      // factor after a late response or a failure
	watchTimeoutDecrease = 0.985                    // factor after a response in time
)

// FleetTiming defines how the requests of a fleet are spread over time.
//
// Agents that start or lose discovery at the same time would otherwise send their requests at the same time. Discovery would reject most
// of them, and the agents would retry together again, which shows as rejected requests at discovery after an outage. The time over which
// requests are spread grows with the size of the fleet.
type FleetTiming struct {
	StartSpread     time.Duration // maximum wait between the use of a cached list and the next request; no wait without a cached list
	RetrySpread     time.Duration // lower limit of the backoff interval after a failed request
	MaxWatchTimeout time.Duration // limit of the watch timeout while discovery is overloaded
}

// FleetTimingFor returns the timing for an agent in a fleet with this number of agents.
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

// backoff determines the wait after failed requests: it is exponential, and at least as long as FleetTiming.RetrySpread.
type backoff struct {
	failures int // consecutive failed requests
}

// interval returns the maximum time until the next request.
func (b *backoff) interval(timing FleetTiming) time.Duration {
	exponential := minRetryInterval << min(b.failures, maxRetryDoublings)
	return min(MaxRetryInterval, max(timing.RetrySpread, exponential))
}

// watchPacing adapts the timeout of watches. It increases while discovery is overloaded, which lowers the request rate, and slowly
// decreases while discovery responds in time. The timeout does not delay the next watch, which starts when the last one has ended, or
// emptyWatchInterval later if that one ended early without a change.
type watchPacing struct {
	timeout time.Duration
}

// next returns the timeout of the next watch. It is randomized because watches that all end at a change would otherwise stay in step.
func (p *watchPacing) next(rng *rand.Rand) time.Duration {
	return time.Duration((1 - watchTimeoutJitter*rng.Float64()) * float64(p.timeout))
}

// adapt updates the timeout after a watch. overloaded is set if the watch failed or its response was late.
func (p *watchPacing) adapt(overloaded bool, timing FleetTiming) {
	if overloaded {
		p.timeout = min(timing.MaxWatchTimeout, time.Duration(watchTimeoutIncrease*float64(p.timeout)))
		return
	}
	p.timeout = max(WatchTimeout, time.Duration(watchTimeoutDecrease*float64(p.timeout)))
}
