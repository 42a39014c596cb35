package budget

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// newBudget returns a budget with the default settings, modified by change unless that is nil.
func newBudget(t *testing.T, change func(*Settings)) *Budget {
	t.Helper()
	settings := Defaults()
	if change != nil {
		change(&settings)
	}
	b, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// fleet simulates agents and the endpoints that they share. The endpoints together serve a number of attempts a second. In each step of
// 10 ms they reject the attempts beyond the capacity of the step and a short queue, whichever agent sent them.
type fleet struct {
	agents        []*Budget
	demand        []float64 // requests a second, of each agent
	capacity      float64   // attempts a second
	rng           *rand.Rand
	now           time.Duration
	backlog       float64       // attempts
	priorities    []float64     // of requests, drawn with equal probability
	exchangeEvery time.Duration // interval between exchanges of peer states; 0 for none

	// Counts since the last reset.
	arrived, admitted []float64 // requests of each agent
	served, rejected  float64   // attempts
	byPriority        map[float64]counts
}

type counts struct{ arrived, admitted float64 }

func newFleet(t *testing.T, capacity float64, demand ...float64) *fleet {
	t.Helper()
	f := &fleet{demand: demand, capacity: capacity, rng: rand.New(rand.NewPCG(7, 7)), now: time.Second, priorities: []float64{1}}
	for range demand {
		f.agents = append(f.agents, newBudget(t, func(s *Settings) { s.Agents = len(demand) }))
	}
	f.reset()
	return f
}

func (f *fleet) reset() {
	f.arrived, f.admitted = make([]float64, len(f.agents)), make([]float64, len(f.agents))
	f.served, f.rejected, f.byPriority = 0, 0, map[float64]counts{}
}

func (f *fleet) run(length time.Duration) {
	const step = 10 * ms
	for end := f.now + length; f.now < end; f.now += step {
		if f.exchangeEvery > 0 && f.now%f.exchangeEvery == 0 {
			f.exchange()
		}
		f.serve(step, f.arrivals(step))
	}
}

// exchange passes to each agent the states of all others, one agent after the other.
func (f *fleet) exchange() {
	for i, b := range f.agents {
		var states []PeerState
		for j, other := range f.agents {
			if j != i {
				states = append(states, other.PeerState(f.now))
			}
		}
		b.UpdatePeers(f.now, states, len(states))
	}
}

// arrivals simulates the requests that arrive in a step. It returns the agent of each admitted one.
func (f *fleet) arrivals(step time.Duration) (sent []int) {
	for i, b := range f.agents {
		for range f.poisson(f.demand[i] * step.Seconds()) {
			priority := f.priorities[f.rng.IntN(len(f.priorities))]
			f.arrived[i]++
			c := f.byPriority[priority]
			c.arrived++
			if b.Admit(f.now, priority).Admit {
				sent = append(sent, i)
				f.admitted[i]++
				c.admitted++
			}
			f.byPriority[priority] = c
		}
	}
	return sent
}

// serve simulates the outcomes of the attempts of a step, in random order. sent holds the agent of each attempt.
func (f *fleet) serve(step time.Duration, sent []int) {
	f.rng.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
	f.backlog = max(0, f.backlog-f.capacity*step.Seconds())
	for _, i := range sent {
		overloaded := f.backlog >= f.capacity*0.05
		if overloaded {
			f.rejected++
		} else {
			f.served++
			f.backlog++
		}
		f.agents[i].AttemptEnded(f.now, Outcome{Overloaded: overloaded, SentAt: f.now})
	}
}

func (f *fleet) poisson(mean float64) (n int) {
	for p := f.rng.Float64(); p > math.Exp(-mean); p *= f.rng.Float64() {
		n++
	}
	return n
}
