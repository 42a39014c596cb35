// Package referee keeps the account of a run from what callers, nodes and discovery saw, each by itself. It never asks an
// agent. It names the evidence for each breach of a rule.
package referee

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Rules are the figures of the rules.
type Rules struct {
	DrainGrace   time.Duration // after an agent was told, something new may still reach a draining or gone node
	TransitSlack time.Duration // more of that, for sockets and the way to the node
	MaxRecorded  int           // breaches that are kept with their evidence; all are counted
	// How long a request is remembered after its end, in which a second run of it is seen; 0 for all of the run.
	RetainFor time.Duration
}

// DefaultRules are those of the platform on sockets.
func DefaultRules() Rules {
	return Rules{DrainGrace: 250 * time.Millisecond, TransitSlack: 50 * time.Millisecond, MaxRecorded: 100}
}

// Rule names a rule.
type Rule string

// The rules.
const (
	Lost              Rule = "lost"        // the agent ended a request without a whole answer, or served what no node made
	Duplicate         Rule = "duplicates"  // a request that must not be repeated ran twice
	AfterDrain        Rule = "after_drain" // new work came later than allowed after the agent was told
	SlowStartOverload Rule = "toppled"     // a cold node was pushed over
)

// Violation is a broken rule with its evidence.
type Violation struct {
	Rule    Rule          `json:"rule"`
	At      time.Duration `json:"at_ns"`
	Request string        `json:"request,omitempty"`
	Agent   string        `json:"agent,omitempty"`
	Node    string        `json:"node,omitempty"`
	Text    string        `json:"text"`
}

// String is a line for people.
func (b Violation) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", b.Rule, b.At.Seconds(), b.Text)
}

// Account is what came of a run's requests. A request is one try of a client: a client's own repeat is another.
type Account struct {
	Requests           int `json:"requests"`
	Completed          int `json:"completed"`
	Rejected           int `json:"rejected"`
	Failed             int `json:"failed"`
	Unanswered         int `json:"unanswered"` // still owed an answer when their time was up
	Lost               int `json:"lost"`
	Duplicates         int `json:"duplicates"`
	AfterDrain         int `json:"after_drain"`
	SlowStartOverloads int `json:"toppled"`
	Attempts           int `json:"attempts"` // requests that came to nodes
	Effects            int `json:"effects"`  // times that a node began one
	UnknownRequests    int `json:"strangers"`
	// Not a rule: new work that came to a draining or gone node later than the rule allows after some agent was told, by an
	// agent that had not been told itself.
	Unnotified int `json:"unheard"`
}

// String is the account on one line, each count under its key in reports.
func (a Account) String() string {
	return fmt.Sprintf("requests %d, completed %d, rejected %d, failed %d, unanswered %d, lost %d, duplicates %d, after_drain %d, toppled %d, "+
		"attempts %d, effects %d, strangers %d, unheard %d", a.Requests, a.Completed, a.Rejected, a.Failed, a.Unanswered, a.Lost, a.Duplicates,
		a.AfterDrain, a.SlowStartOverloads, a.Attempts, a.Effects, a.UnknownRequests, a.Unnotified)
}

// RulesHold reports whether all rules held.
func (a Account) RulesHold() bool {
	return a.Lost == 0 && a.Duplicates == 0 && a.AfterDrain == 0 && a.SlowStartOverloads == 0
}

// Balanced reports whether each request has exactly one end.
func (a Account) Balanced() bool {
	return a.Requests == a.Completed+a.Rejected+a.Failed+a.Unanswered+a.Lost
}

// Request is a request as its caller sent it.
type Request struct {
	ID            string
	Agent         string // to whom; empty where a caller chooses nodes by itself
	NonIdempotent bool   // must never run twice
	At            time.Duration
	Tenant        string
	Class         string
}

type requestRecord struct {
	Request
	ended          bool
	arrivals       int
	executions     []execution // where and when it took effect
	responseHashes []uint64
	lastNode       string
}

type execution struct {
	node string
	at   time.Duration
}

type notificationKey struct{ agent, node string }

// Referee keeps the account. It is safe for concurrent use. It holds what it knows of each request of a run.
type Referee struct {
	rules Rules

	mu             sync.Mutex
	account        Account
	violations     []Violation
	trustResponses bool // nodes are out of sight
	requests       map[string]*requestRecord
	notified       map[notificationKey]time.Duration // since when a node drains or is gone, as told to an agent
	firstNotified  map[string]time.Duration          // and as told to any, by node
	excused        map[string][]interval             // agents that were killed: what they had is nobody's fault
	endedRequests  []endedRequest                    // in their order, where requests are not remembered for ever
}

type endedRequest struct {
	id string
	at time.Duration
}

type interval struct{ from, to time.Duration }

// New returns a referee at the start of a run.
func New(rules Rules) *Referee {
	return &Referee{rules: rules, requests: map[string]*requestRecord{}, notified: map[notificationKey]time.Duration{}, firstNotified: map[string]time.Duration{}, excused: map[string][]interval{}}
}

func (r *Referee) violated(b Violation) {
	switch b.Rule {
	case Lost:
		r.account.Lost++
	case Duplicate:
		r.account.Duplicates++
	case AfterDrain:
		r.account.AfterDrain++
	case SlowStartOverload:
		r.account.SlowStartOverloads++
	}
	if len(r.violations) < r.rules.MaxRecorded {
		r.violations = append(r.violations, b)
	}
}

// RequestSent tells that a caller sends a request.
func (r *Referee) RequestSent(a Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[a.ID] = &requestRecord{Request: a}
	r.account.Requests++
}

// KnownRequest reports whether a caller sent a request under that id.
func (r *Referee) KnownRequest(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id] != nil
}

// AgentOf is the agent that a request was sent to; empty where it is not known, or its caller chose a node by itself.
func (r *Referee) AgentOf(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		return q.Agent
	}
	return ""
}

// TrustResponses lets each 200 count as made by a node, where nodes are out of sight.
func (r *Referee) TrustResponses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trustResponses = true
}

// Notified tells that discovery has written to an agent whether a node takes new work.
func (r *Referee) Notified(agent, node string, takes bool, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := notificationKey{agent, node}
	if takes {
		delete(r.notified, key)
		delete(r.firstNotified, node)
	} else if _, ok := r.notified[key]; !ok {
		r.notified[key] = at
		if _, ok := r.firstNotified[node]; !ok {
			r.firstNotified[node] = at
		}
	}
}

// AgentKilled tells that an agent was killed and came back: what it had open then is not held against it, nor what it was
// told in its earlier life.
func (r *Referee) AgentKilled(agent string, from, to time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excused[agent] = append(r.excused[agent], interval{from, to})
	for key := range r.notified {
		if key.agent == agent {
			delete(r.notified, key)
		}
	}
}

// RequestArrived tells that a request reached a node; first is when its first byte did.
func (r *Referee) RequestArrived(id, node string, first time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	r.account.Attempts++
	if q == nil {
		r.account.UnknownRequests++
		return
	}
	q.arrivals++
	q.lastNode = node
	told, drains := r.notified[notificationKey{q.Agent, node}]
	if any, ok := r.firstNotified[node]; ok && !drains && q.Agent != "" && first-any > r.rules.DrainGrace+r.rules.TransitSlack {
		r.account.Unnotified++
	}
	if late := first - told - r.rules.DrainGrace - r.rules.TransitSlack; drains && q.Agent != "" && late > 0 {
		r.violated(Violation{AfterDrain, first, id, q.Agent, node, fmt.Sprintf(
			"%s sent %s to %s %.3fs after it was told (at %.3fs) that this takes no new work", q.Agent, id, node, (first - told).Seconds(), told.Seconds())})
	}
}

// ExecutionStarted tells that a node began a request: from then on it may have taken effect there.
func (r *Referee) ExecutionStarted(id, node string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.account.Effects++
	q := r.requests[id]
	if q == nil {
		return
	}
	q.executions = append(q.executions, execution{node, at})
	if q.NonIdempotent && len(q.executions) > 1 {
		first := q.executions[0]
		r.violated(Violation{Duplicate, at, id, q.Agent, node, fmt.Sprintf(
			"%s, which must not run twice, ran on %s at %.3fs and again on %s at %.3fs, sent by %s", id, first.node, first.at.Seconds(), node, at.Seconds(), q.Agent)})
	}
}

// ResponseProduced tells what a node answered: a sum over the body of a 200.
func (r *Referee) ResponseProduced(id string, sum uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		q.responseHashes = append(q.responseHashes, sum)
	}
}

// SlowStartOverloaded tells that a cold node fell over.
func (r *Referee) SlowStartOverloaded(node string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violated(Violation{Rule: SlowStartOverload, At: at, Node: node, Text: fmt.Sprintf("%s was cold and got more than it could bear", node)})
}

// Outcome is how a request ended for its caller.
type Outcome int

// The ends of a request.
const (
	Served           Outcome = iota // a 200
	Rejected                        // 429 or 503
	Failed                          // any other answer, or one that broke off so that the caller could tell
	TimedOut                        // no answer when the time was up
	ConnectionClosed                // the connection ended with no answer begun
	NotSent                         // it never went out whole
)

// RequestEnded tells how a request ended; sum is that of a served body. It returns false when the request had ended before, which
// callers must not do.
func (r *Referee) RequestEnded(id string, end Outcome, sum uint64, at time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	if q == nil || q.ended {
		return false
	}
	q.ended = true
	r.expireRequests(id, at)
	switch end {
	case Served:
		if !r.trustResponses && !slices.Contains(q.responseHashes, sum) {
			r.violated(Violation{Lost, at, id, q.Agent, q.lastNode, fmt.Sprintf(
				"%s served %s with what no node made for it (%d attempts came to nodes)", q.Agent, id, q.arrivals)})
			return true
		}
		r.account.Completed++
	case Rejected:
		r.account.Rejected++
	case TimedOut:
		r.account.Unanswered++
	case ConnectionClosed:
		// One that was passed on was taken; of one that was not, nobody can say that the agent had read it.
		if q.arrivals > 0 && !r.isExcused(q, at) {
			r.violated(Violation{Lost, at, id, q.Agent, q.lastNode, fmt.Sprintf(
				"%s closed the connection of %s without an answer, after sending it on to %s", q.Agent, id, q.lastNode)})
			return true
		}
		r.account.Failed++
	default:
		r.account.Failed++
	}
	return true
}

// expireRequests notes a request's end, and forgets those that ended too long ago.
func (r *Referee) expireRequests(id string, now time.Duration) {
	if r.rules.RetainFor == 0 {
		return
	}
	r.endedRequests = append(r.endedRequests, endedRequest{id, now})
	for r.endedRequests[0].at < now-r.rules.RetainFor {
		delete(r.requests, r.endedRequests[0].id)
		r.endedRequests = r.endedRequests[1:]
	}
}

func (r *Referee) isExcused(q *requestRecord, at time.Duration) bool {
	return slices.ContainsFunc(r.excused[q.Agent], func(s interval) bool { return q.At <= s.to && at >= s.from })
}

// Forwarded reports whether a request has come to a node.
func (r *Referee) Forwarded(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	return q != nil && q.arrivals > 0
}

// Account returns the account so far. Requests without an end are in Requests only.
func (r *Referee) Account() Account {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.account
}

// Violations returns the breaches that were kept, in the order of their discovery.
func (r *Referee) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}
