package referee

import "fmt"

// Account counts what became of a run's requests. A request is one attempt of a client: a client's own retry is another.
type Account struct {
	Requests           int `json:"requests"`
	Completed          int `json:"completed"`
	Rejected           int `json:"rejected"`
	Failed             int `json:"failed"`
	Unanswered         int `json:"unanswered"` // without a response when their time was up
	Lost               int `json:"lost"`
	Duplicates         int `json:"duplicates"`
	AfterDrain         int `json:"after_drain"`
	SlowStartOverloads int `json:"toppled"`
	Attempts           int `json:"attempts"`  // requests that arrived at nodes
	Effects            int `json:"effects"`   // executions that nodes started
	UnknownRequests    int `json:"strangers"` // arrivals of requests that no caller sent
	// Not a violation: new requests that came to a draining or removed node later than the rule allows after some agent was
	// notified, from an agent that had not been.
	Unnotified int `json:"unheard"`
}

// String returns the account on one line, each count under its key in reports.
func (a Account) String() string {
	return fmt.Sprintf("requests %d, completed %d, rejected %d, failed %d, unanswered %d, lost %d, duplicates %d, after_drain %d, toppled %d, "+
		"attempts %d, effects %d, strangers %d, unheard %d", a.Requests, a.Completed, a.Rejected, a.Failed, a.Unanswered, a.Lost, a.Duplicates,
		a.AfterDrain, a.SlowStartOverloads, a.Attempts, a.Effects, a.UnknownRequests, a.Unnotified)
}

// RulesHold reports whether no rule was broken.
func (a Account) RulesHold() bool {
	return a.Lost == 0 && a.Duplicates == 0 && a.AfterDrain == 0 && a.SlowStartOverloads == 0
}

// Balanced reports whether each request has exactly one end.
func (a Account) Balanced() bool {
	return a.Requests == a.Completed+a.Rejected+a.Failed+a.Unanswered+a.Lost
}

// countViolation counts a violation under its rule.
func (a *Account) countViolation(rule Rule) {
	switch rule {
	case Lost:
		a.Lost++
	case Duplicate:
		a.Duplicates++
	case AfterDrain:
		a.AfterDrain++
	case SlowStartOverload:
		a.SlowStartOverloads++
	}
}
