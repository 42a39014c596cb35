// Package node is an order node as a model without I/O: what it does with the work it gets, how fast, and what goes wrong
// with it. Time is handed in, so that the same model stands behind sockets in real time, behind an in-memory network in
// fake time, and in a simulation that has no network at all.
package node

import (
	"errors"
	"fmt"
	"time"
)

// Spec says what a node is like. Work is measured in time on a core of speed 1.
type Spec struct {
	ID, Kind, Zone           string
	Cores                    int
	Speed                    float64 // of a core: work done a second; above 0
	SlotsPerCore             float64 // requests in work at a time
	QueuePerCore             float64 // requests that may wait
	ContentionLoss           float64 // efficiency lost when it holds twice ThrashAt a core or more, from 0 to below 1
	ContentionThreshold      float64 // requests held a core from which efficiency falls; 0 for never
	SlowStartInitialFraction float64 // share of its capacity at the start, above 0 to 1
	SlowStartWindow          time.Duration
	Started                  time.Duration // when it starts cold; below 0 for long ago
	Degradation              Degradation
	Affinity                 Affinity
	ConnCap                  int           // connections held at most; 0 for no limit
	HandshakeWork            time.Duration // work for a new connection
	ConnOverhead             float64       // share of the capacity that a full table of connections takes
	HealthCheckWork          time.Duration // work for a probe
	HealthCheckRate          float64       // probes answered a second; 0 for no limit
	LoadReporting            LoadReporting
	ErrorRate                float64       // share of requests that fail after their work
	WorkNoise                float64       // standard deviation of an attempt's work, as a share of it
	SlowStartOverloadFactor  float64       // multiple of its present capacity at which a cold node topples; 0 for never
	OverloadWindow           time.Duration // when sent for so long
	RunsCancelled            bool          // work goes on when its client has left
	RunsExpired              bool          // work goes on when its time is over
}

// Degradation is a slowdown after a lasting overload.
type Degradation struct {
	QueuePerCore        float64       // requests waiting or turned away within a second, a core; 0 for never
	After               time.Duration // for so long
	SlowdownFactor      float64       // how many times slower it gets
	RecoveryUtilization float64       // use below which it rests
	RecoveryTime        time.Duration // rest after which it is well again
	MaxDuration         time.Duration // it is well again after this in any case
}

// Affinity is the saving on a key that a node has met lately.
type Affinity struct {
	Saving  float64 // share of the work saved, from 0 to below 1
	TTL     time.Duration
	MaxKeys int // keys remembered at most, the latest
}

// LoadReporting is how a node tells its load.
type LoadReporting struct {
	Period time.Duration // between two readings
	Delay  time.Duration // until a reading can be seen
	Noise  float64       // relative standard deviation
}

// Check says what is wrong with a spec.
func (s Spec) Check() error {
	switch {
	case s.ID == "":
		return errors.New("a node needs an id")
	case s.Cores < 1 || s.Cores > 1024:
		return fmt.Errorf("node %s: cores must be from 1 to 1024, not %d", s.ID, s.Cores)
	case !(s.Speed > 0):
		return fmt.Errorf("node %s: speed must be above 0, not %v", s.ID, s.Speed)
	case !(s.SlotsPerCore > 0) || s.QueuePerCore < 0:
		return fmt.Errorf("node %s: slots must be above 0 and the queue not below 0", s.ID)
	case s.ContentionLoss < 0 || s.ContentionLoss >= 1 || s.ConnOverhead < 0 || s.ConnOverhead >= 1 || s.Affinity.Saving < 0 || s.Affinity.Saving >= 1:
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

// TypicalSpec is an order node of the usual size with nothing wrong with it.
func TypicalSpec(id, kind, zone string, speed float64) Spec {
	return Spec{ID: id, Kind: kind, Zone: zone, Cores: 2, Speed: speed, SlotsPerCore: 1, QueuePerCore: 3, ContentionLoss: 0.3,
		ContentionThreshold: 6, SlowStartInitialFraction: 0.2, SlowStartWindow: 16 * time.Second, Started: -1,
		Degradation: Degradation{QueuePerCore: 5, After: 2 * time.Second, SlowdownFactor: 2.6, RecoveryUtilization: 0.33, RecoveryTime: 3500 * time.Millisecond, MaxDuration: 28 * time.Second},
		Affinity:    Affinity{Saving: 0.5, TTL: 6 * time.Second, MaxKeys: 30}, ConnCap: 390, HandshakeWork: 4 * time.Millisecond,
		ConnOverhead: 0.23, HealthCheckWork: 130 * time.Microsecond, HealthCheckRate: 12,
		LoadReporting: LoadReporting{Period: 800 * time.Millisecond, Delay: 250 * time.Millisecond, Noise: 0.04},
		WorkNoise:     0.3, ErrorRate: 0.0003, SlowStartOverloadFactor: 2.5, OverloadWindow: 2 * time.Second}
}
