package node

import (
	"errors"
	"fmt"
	"time"
)

// Spec configures a node. Work is measured in time on a core of speed 1.
type Spec struct {
	ID, Kind, Zone string
	Cores          int
	Speed          float64 // work that a core does per second; greater than 0
	SlotsPerCore   float64 // requests executed concurrently
	QueuePerCore   float64 // maximum number of queued requests
	ErrorRate      float64 // fraction of requests that fail after they were executed
	WorkNoise      float64 // relative standard deviation of the work of an attempt
	RunsCancelled  bool    // execution continues after the client has disconnected
	RunsExpired    bool    // execution starts even if the deadline has passed

	ContentionLoss      float64 // fraction of efficiency lost at twice ContentionThreshold and above; in [0, 1)
	ContentionThreshold float64 // requests held per core above which efficiency falls; 0 for no contention
	Degradation         Degradation
	Affinity            Affinity

	Started                  time.Duration // when slow start begins; negative if the node started long ago
	SlowStartInitialFraction float64       // fraction of its capacity at the start; in (0, 1]
	SlowStartWindow          time.Duration // duration of slow start
	SlowStartOverloadFactor  float64       // multiple of its current capacity that overloads it in slow start; 0 disables this
	OverloadWindow           time.Duration // sliding window over which the load in slow start is measured

	ConnCap         int           // maximum number of connections; 0 for no limit
	ConnOverhead    float64       // fraction of the capacity lost when ConnCap connections are open; in [0, 1)
	HandshakeWork   time.Duration // cost of a new connection
	HealthCheckWork time.Duration // cost of a health check
	HealthCheckRate float64       // health checks answered per second; 0 for no limit
	LoadReporting   LoadReporting
}

// Degradation configures the slowdown that follows a sustained overload.
type Degradation struct {
	QueuePerCore        float64       // overload threshold: requests per core queued, or rejected in the last second; 0 for no degradation
	After               time.Duration // how long the overload must last before the node degrades
	SlowdownFactor      float64       // execution is this many times slower; at least 1
	RecoveryUtilization float64       // utilization below which the node recovers
	RecoveryTime        time.Duration // how long utilization must stay below RecoveryUtilization
	MaxDuration         time.Duration // degradation ends after this in any case
}

// Affinity configures how much work a node saves on a routing key that it has served recently.
type Affinity struct {
	Saving  float64       // fraction of the work; in [0, 1)
	TTL     time.Duration // how long a key stays cached after its last use
	MaxKeys int           // maximum number of cached keys; the least recently used one is evicted
}

// LoadReporting configures how a node measures its load.
type LoadReporting struct {
	Period time.Duration // between two measurements; 0 for no load reports
	Delay  time.Duration // from a measurement until it is visible to others
	Noise  float64       // relative standard deviation
}

const maxCores = 1024

// Check returns an error that names the node and the first invalid setting.
func (s Spec) Check() error {
	switch {
	case s.ID == "":
		return errors.New("node without an ID")
	case s.Cores < 1 || s.Cores > maxCores:
		return fmt.Errorf("node %s: cores must be from 1 to 1024, not %d", s.ID, s.Cores)
	case !(s.Speed > 0):
		return fmt.Errorf("node %s: speed must be above 0, not %v", s.ID, s.Speed)
	case !(s.SlotsPerCore > 0) || s.QueuePerCore < 0:
		return fmt.Errorf("node %s: slots per core must be above 0, not %v, and the queue per core at least 0, not %v", s.ID, s.SlotsPerCore, s.QueuePerCore)
	case notAFraction(s.ContentionLoss) || notAFraction(s.ConnOverhead) || notAFraction(s.Affinity.Saving):
		return fmt.Errorf("node %s: contention loss (%v), connection overhead (%v) and affinity saving (%v) must be at least 0 and below 1",
			s.ID, s.ContentionLoss, s.ConnOverhead, s.Affinity.Saving)
	case !(s.SlowStartInitialFraction > 0) || s.SlowStartInitialFraction > 1 || s.SlowStartWindow < 0:
		return fmt.Errorf("node %s: the initial fraction in slow start must be above 0 and at most 1, not %v, and the slow start window at least 0, not %v",
			s.ID, s.SlowStartInitialFraction, s.SlowStartWindow)
	case s.Degradation.QueuePerCore > 0 && !(s.Degradation.SlowdownFactor >= 1):
		return fmt.Errorf("node %s: the slowdown factor of degradation must be at least 1, not %v", s.ID, s.Degradation.SlowdownFactor)
	case s.SlowStartOverloadFactor > 0 && s.OverloadWindow <= 0:
		return fmt.Errorf("node %s: with a slow start overload factor, the overload window must be above 0, not %v", s.ID, s.OverloadWindow)
	case s.WorkNoise < 0 || s.ErrorRate < 0 || s.ErrorRate > 1:
		return fmt.Errorf("node %s: work noise must be at least 0, not %v, and the error rate from 0 to 1, not %v", s.ID, s.WorkNoise, s.ErrorRate)
	}
	return nil
}

// notAFraction reports whether x is outside [0, 1).
func notAFraction(x float64) bool { return x < 0 || x >= 1 }

// TypicalSpec returns an order node of typical size whose slow start is over.
func TypicalSpec(id, kind, zone string, speed float64) Spec {
	return Spec{
		ID:                  id,
		Kind:                kind,
		Zone:                zone,
		Cores:               2,
		Speed:               speed,
		SlotsPerCore:        1,
		QueuePerCore:        3,
		ErrorRate:           0.0003,
		WorkNoise:           0.3,
		ContentionLoss:      0.3,
		ContentionThreshold: 6,
		Degradation: Degradation{
			QueuePerCore:        5,
			After:               2 * time.Second,
			SlowdownFactor:      2.6,
			RecoveryUtilization: 0.33,
			RecoveryTime:        3500 * time.Millisecond,
			MaxDuration:         28 * time.Second,
		},
		Affinity:                 Affinity{Saving: 0.5, TTL: 6 * time.Second, MaxKeys: 30},
		Started:                  -1,
		SlowStartInitialFraction: 0.2,
		SlowStartWindow:          16 * time.Second,
		SlowStartOverloadFactor:  2.5,
		OverloadWindow:           2 * time.Second,
		ConnCap:                  390,
		ConnOverhead:             0.23,
		HandshakeWork:            4 * time.Millisecond,
		HealthCheckWork:          130 * time.Microsecond,
		HealthCheckRate:          12,
		LoadReporting:            LoadReporting{Period: 800 * time.Millisecond, Delay: 250 * time.Millisecond, Noise: 0.04},
	}
}
