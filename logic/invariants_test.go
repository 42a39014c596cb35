package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// Clients, endpoints and discovery produce random events, and each action must comply with the rules: one
// final response in time for each request, no send to a draining endpoint, no repeat that the class does
// not allow, no Reject of a request that may have been executed. After all requests have ended, no state
// may be left.
func TestInvariantsOverRandomEvents(t *testing.T) {
	sends, rejects, fails := 0, 0, 0
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := newSimulation(randomSettings(random), seed)
		b := s.run(t, 3000, 0.2+random.Float64()*0.7, nil)
		for _, v := range s.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		if len(b.requests) != 0 {
			t.Errorf("seed %d: %d requests left after all have ended", seed, len(b.requests))
		}
		inFlight := 0
		for _, e := range b.endpoints.listed {
			inFlight += len(e.inFlight)
		}
		if inFlight != 0 || len(b.deadlines.queue) != 0 {
			t.Errorf("seed %d: after all requests have ended, %d attempts are in flight and %d requests wait for a deadline",
				seed, inFlight, len(b.deadlines.queue))
		}
		if b.retryBudget.available < 0 || b.retryBudget.available > b.retryBudget.capacity {
			t.Errorf("seed %d: retry budget of %v, want 0 to %v", seed, b.retryBudget.available, b.retryBudget.capacity)
		}
		sends, rejects, fails = sends+s.sends, rejects+s.rejects, fails+s.fails
	}
	if sends < 10000 || rejects < 100 || fails < 100 {
		t.Errorf("the simulation covers too little: %d sends, %d rejects, %d fails", sends, rejects, fails)
	}
}

// A failure in production can be reproduced from its events only if equal settings, seeds and events give
// equal actions.
func TestEqualSeedsGiveEqualActions(t *testing.T) {
	trace := func() string {
		var out strings.Builder
		s := newSimulation(randomSettings(rand.New(rand.NewPCG(3, 1))), 3)
		s.run(t, 1000, 0.5, func(actions []Action) []Action {
			fmt.Fprint(&out, actions)
			return actions
		})
		return out.String()
	}
	first, second := trace(), trace()
	if first != second {
		t.Error("two runs with equal settings, seeds and events give different actions")
	}
}

// The simulation must report an injected violation of each rule. Otherwise a check that detects nothing
// would let TestInvariantsOverRandomEvents pass.
func TestSimulationReportsInjectedViolations(t *testing.T) {
	for _, c := range []struct {
		violation string
		inject    func(s *simulation, actions []Action) []Action
	}{
		{"no final response", dropFinalResponses},
		{"a second final response", repeatFinalResponse},
		{"which is draining", sendToDraining},
		{"repeated", resendInsteadOfEnding},
		{"is rejected", rejectInsteadOfFail},
		{"attempts in flight", repeatSend},
	} {
		settings := randomSettings(rand.New(rand.NewPCG(2, 1)))
		settings.HedgingAllowed, settings.MaxAttempts = false, 3
		const objective, timeout = 200 * time.Millisecond, 600 * time.Millisecond
		settings.Classes = []Class{
			{Idempotency: NonIdempotent, LatencyObjective: objective, Timeout: timeout, PriorityWeight: 1},
			{Idempotency: IdempotentWithKey, DedupScope: DedupCell, IdempotencyWindow: objective,
				LatencyObjective: objective, Timeout: timeout, PriorityWeight: 1},
		}
		s := newSimulation(settings, 5)
		s.run(t, 3000, 0.5, func(actions []Action) []Action { return c.inject(s, slices.Clone(actions)) })
		if !slices.ContainsFunc(s.violations, func(v string) bool { return strings.Contains(v, c.violation) }) {
			t.Errorf("an injected violation is not reported: %s; number of reported violations: %d", c.violation, len(s.violations))
		}
	}
}

func isFinalResponse(a Action) bool { return a.Kind == Fail || a.Kind == Reject }

func dropFinalResponses(_ *simulation, actions []Action) []Action {
	return slices.DeleteFunc(actions, isFinalResponse)
}

func repeatFinalResponse(_ *simulation, actions []Action) []Action {
	if i := slices.IndexFunc(actions, isFinalResponse); i >= 0 {
		actions = append(actions, actions[i])
	}
	return actions
}

func repeatSend(_ *simulation, actions []Action) []Action {
	if i := slices.IndexFunc(actions, func(a Action) bool { return a.Kind == Send }); i >= 0 {
		actions = append(actions, actions[i])
	}
	return actions
}

func sendToDraining(s *simulation, actions []Action) []Action {
	for i := range actions {
		for _, id := range s.ids {
			if actions[i].Kind == Send && s.endpoints[id].unavailableSince != 0 {
				actions[i].Endpoint = id
			}
		}
	}
	return actions
}

func resendInsteadOfEnding(s *simulation, actions []Action) []Action {
	for i, a := range actions {
		if isFinalResponse(a) && len(s.requests[a.Request].attempts) > 0 {
			actions[i] = Action{Kind: Send, Request: a.Request, Endpoint: s.ids[0]}
		}
	}
	return actions
}

func rejectInsteadOfFail(_ *simulation, actions []Action) []Action {
	for i := range actions {
		if actions[i].Kind == Fail {
			actions[i].Kind = Reject
		}
	}
	return actions
}
