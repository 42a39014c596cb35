package referee

import "fmt"

// Account counts the outcomes of a run's requests. Each attempt of a client counts as a request of its own.
type Account struct {
	Requests           int `json:"requests"`
	Completed          int `json:"completed"`
	Rejected           int `json:"rejected"`
	Failed             int `json:"failed"`
	Unanswered         int `json:"unanswered"` // no response before their timeout
	Lost               int `json:"lost"`
	Duplicates         int `json:"duplicates"`
	AfterDrain         int `json:"after_drain"`
	SlowStartOverloads int `json:"toppled"`
	Attempts           int `json:"attempts"`  // requests that arrived at nodes
	Effects            int `json:"effects"`   // executions that nodes started
	UnknownRequests    int `json:"strangers"` // arrivals of requests that no caller sent
	// Unnotified counts new requests from an agent that had not been notified that the node is draining or removed, if they arrived
	// later after the first notification of any agent than the rule AfterDrain allows. They are no violations.
	Unnotified int `json:"unheard"`
}

// String returns the counts on one line, each with its JSON key.
func (a Account) String() string {
	return fmt.Sprintf("requests %d, completed %d, rejected %d, failed %d, unanswered %d, lost %d, duplicates %d, after_drain %d, toppled %d, "+
		"attempts %d, effects %d, strangers %d, unheard %d", a.Requests, a.Completed, a.Rejected, a.Failed, a.Unanswered, a.Lost, a.Duplicates,
		a.AfterDrain, a.SlowStartOverloads, a.Attempts, a.Effects, a.UnknownRequests, a.Unnotified)
}

// RulesHold reports whether there is no violation.
func (a Account) RulesHold() bool {
	return a.Lost == 0 && a.Duplicates == 0 && a.AfterDrain == 0 && a.SlowStartOverloads == 0
}

// Balanced reports whether each request has been counted under exactly one outcome.
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
