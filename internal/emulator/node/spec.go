package node

import (
	"errors"
	"fmt"
	"time"
)

// Spec says what a node is like. Work is measured in time on a core of speed 1.
type Spec struct {
	ID, Kind, Zone string
	Cores          int
	Speed          float64 // of a core: work done a second; above 0
	SlotsPerCore   float64 // requests that are executed at a time
	QueuePerCore   float64 // requests that may be queued
	ErrorRate      float64 // share of requests that fail after their work
	WorkNoise      float64 // standard deviation of an attempt's work, as a share of it
	RunsCancelled  bool    // work goes on when its client has left
	RunsExpired    bool    // work is started when its deadline has passed

	ContentionLoss      float64 // share of the efficiency lost when it holds twice ContentionThreshold or more; from 0 to below 1
	ContentionThreshold float64 // requests held a core from which efficiency falls; 0 for never
	Degradation         Degradation
	Affinity            Affinity

	Started                  time.Duration // when its slow start begins; below 0 for long ago
	SlowStartInitialFraction float64       // share of its capacity at the start; above 0, at most 1
	SlowStartWindow          time.Duration
	SlowStartOverloadFactor  float64 // multiple of its present capacity that overloads it in slow start; 0 for never
	OverloadWindow           time.Duration

	ConnCap         int           // connections held at most; 0 for no limit
	ConnOverhead    float64       // share of the capacity that a full table of connections takes
	HandshakeWork   time.Duration // for a new connection
	HealthCheckWork time.Duration // for a health check
	HealthCheckRate float64       // health checks answered a second; 0 for no limit
	LoadReporting   LoadReporting
}

// Degradation is a slowdown after a lasting overload.
type Degradation struct {
	QueuePerCore        float64       // requests queued or rejected within a second, a core, that overload it; 0 for never
	After               time.Duration // how long the overload lasts before it sets in
	SlowdownFactor      float64       // how many times slower the node gets; at least 1
	RecoveryUtilization float64       // utilization below which it recovers
	RecoveryTime        time.Duration // how long that must last
	MaxDuration         time.Duration // it ends after this in any case
}

// Affinity is the saving on a routing key that a node has served lately.
type Affinity struct {
	Saving  float64 // share of the work; from 0 to below 1
	TTL     time.Duration
	MaxKeys int // cached; the key that was used longest ago is evicted
}

// LoadReporting is how a node measures its load.
type LoadReporting struct {
	Period time.Duration // between two readings; 0 for none
	Delay  time.Duration // until a reading can be seen
	Noise  float64       // relative standard deviation
}

const maxCores = 1024

// Check returns what is wrong with a spec, with the node's ID.
func (s Spec) Check() error {
	switch {
	case s.ID == "":
		return errors.New("a node needs an id")
	case s.Cores < 1 || s.Cores > maxCores:
		return fmt.Errorf("node %s: cores must be from 1 to 1024, not %d", s.ID, s.Cores)
	case !(s.Speed > 0):
		return fmt.Errorf("node %s: speed must be above 0, not %v", s.ID, s.Speed)
	case !(s.SlotsPerCore > 0) || s.QueuePerCore < 0:
		return fmt.Errorf("node %s: slots must be above 0 and the queue not below 0", s.ID)
	case notAShare(s.ContentionLoss) || notAShare(s.ConnOverhead) || notAShare(s.Affinity.Saving):
		return fmt.Errorf("node %s: thrash, full tax and affinity gain must be from 0 to below 1", s.ID)
	case !(s.SlowStartInitialFraction > 0) || s.SlowStartInitialFraction > 1 || s.SlowStartWindow < 0:
		return fmt.Errorf("node %s: the cold share must be above 0 and at most 1", s.ID)
	case s.Degradation.QueuePerCore > 0 && !(s.Degradation.SlowdownFactor >= 1):
		return fmt.Errorf("node %s: a choke must make it at least 1 times slower", s.ID)
	case s.SlowStartOverloadFactor > 0 && s.OverloadWindow <= 0:
		return fmt.Errorf("node %s: it needs a time after which an overload topples it", s.ID)
	case s.WorkNoise < 0 || s.ErrorRate < 0 || s.ErrorRate > 1:
		return fmt.Errorf("node %s: work noise must not be below 0, and the error rate from 0 to 1", s.ID)
	}
	return nil
}

// notAShare reports whether x is not from 0 to below 1.
func notAShare(x float64) bool { return x < 0 || x >= 1 }

// TypicalSpec returns an order node of the usual size, past its slow start.
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
