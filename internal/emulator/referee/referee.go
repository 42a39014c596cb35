package referee

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Request is a request as its caller sent it.
type Request struct {
	ID            string
	Agent         string // that it was sent to; empty where the caller chooses nodes itself
	NonIdempotent bool   // must not be executed twice
	At            time.Duration
	Tenant        string
	Class         string
}

// Outcome is how a request ended for its caller.
type Outcome int

// The outcomes of a request.
const (
	Served           Outcome = iota // a 200
	Rejected                        // 429 or 503
	Failed                          // any other response, or one that broke off so that the caller noticed
	TimedOut                        // no response when the time was up
	ConnectionClosed                // the connection ended before a response began
	NotSent                         // it was never sent to its end
)

// requestRecord is what the referee knows of a request.
type requestRecord struct {
	Request
	ended          bool
	arrivals       int // at nodes
	lastNode       string
	executions     []execution
	responseHashes []uint64 // of the bodies that nodes made for it
}

type execution struct {
	node string
	at   time.Duration
}

type endedRequest struct {
	id string
	at time.Duration
}

type interval struct{ from, to time.Duration }

// Referee keeps the account of a run. It is safe for concurrent use. All times count from the same epoch.
type Referee struct {
	rules Rules

	mu             sync.Mutex
	account        Account
	violations     []Violation
	trustResponses bool
	requests       map[string]*requestRecord
	notifications  notifications
	excused        map[string][]interval // by agent: the times in which it was killed
	endedRequests  []endedRequest        // in their order, where requests are not retained for the whole run
}

// New returns a referee at the start of a run.
func New(rules Rules) *Referee {
	return &Referee{
		rules:         rules,
		requests:      map[string]*requestRecord{},
		notifications: newNotifications(),
		excused:       map[string][]interval{},
	}
}

// violated counts a violation, and records it unless there are too many. r.mu is held.
func (r *Referee) violated(v Violation) {
	r.account.countViolation(v.Rule)
	if len(r.violations) < r.rules.MaxViolations {
		r.violations = append(r.violations, v)
	}
}

// RequestSent says that a caller sends a request.
func (r *Referee) RequestSent(request Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[request.ID] = &requestRecord{Request: request}
	r.account.Requests++
}

// KnownRequest reports whether a caller sent a request under that id.
func (r *Referee) KnownRequest(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id] != nil
}

// AgentOf returns the agent that a request was sent to; empty where the request is not known or its caller chose a node itself.
func (r *Referee) AgentOf(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record := r.requests[id]; record != nil {
		return record.Agent
	}
	return ""
}

// TrustResponses counts each 200 as made by a node, for runs whose nodes the referee does not see.
func (r *Referee) TrustResponses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trustResponses = true
}

// Notified says that an agent has been notified whether a node accepts new requests.
func (r *Referee) Notified(agent, node string, accepts bool, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifications.set(agent, node, accepts, at)
}

// AgentKilled says that an agent was killed, and when its next process was there: it is excused for what it had open, and the next
// process for what the one before it was notified of.
func (r *Referee) AgentKilled(agent string, from, to time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excused[agent] = append(r.excused[agent], interval{from, to})
	r.notifications.forgetAgent(agent)
}

// RequestArrived says that a request reached a node, and when its first byte did. It checks the rule AfterDrain.
func (r *Referee) RequestArrived(id, node string, firstByte time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.account.Attempts++
	record := r.requests[id]
	if record == nil {
		r.account.UnknownRequests++
		return
	}
	record.arrivals++
	record.lastNode = node
	if record.Agent != "" {
		r.checkDrain(record, node, firstByte)
	}
}

// checkDrain checks that an agent does not send new requests to a node that it knows not to take any. r.mu is held.
func (r *Referee) checkDrain(record *requestRecord, node string, arrived time.Duration) {
	grace := r.rules.DrainGrace + r.rules.TransitSlack
	notifiedAt, notified := r.notifications.byAgent[agentNode{record.Agent, node}]
	if !notified {
		if first, ok := r.notifications.first[node]; ok && arrived-first > grace {
			r.account.Unnotified++
		}
		return
	}
	if arrived-notifiedAt <= grace {
		return
	}
	r.violated(Violation{
		Rule:    AfterDrain,
		At:      arrived,
		Request: record.ID,
		Agent:   record.Agent,
		Node:    node,
		Text: fmt.Sprintf("%s sent %s to %s %.3fs after it was told (at %.3fs) that this takes no new work",
			record.Agent, record.ID, node, (arrived - notifiedAt).Seconds(), notifiedAt.Seconds()),
	})
}

// ExecutionStarted says that a node began to execute a request: from then on it may have taken effect there. It checks the rule
// Duplicate.
func (r *Referee) ExecutionStarted(id, node string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.account.Effects++
	record := r.requests[id]
	if record == nil {
		return
	}
	record.executions = append(record.executions, execution{node, at})
	if !record.NonIdempotent || len(record.executions) == 1 {
		return
	}
	first := record.executions[0]
	r.violated(Violation{
		Rule:    Duplicate,
		At:      at,
		Request: id,
		Agent:   record.Agent,
		Node:    node,
		Text: fmt.Sprintf("%s, which must not run twice, ran on %s at %.3fs and again on %s at %.3fs, sent by %s",
			id, first.node, first.at.Seconds(), node, at.Seconds(), record.Agent),
	})
}

// ResponseProduced gives the hash of a body that a node made for a request.
func (r *Referee) ResponseProduced(id string, bodyHash uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record := r.requests[id]; record != nil {
		record.responseHashes = append(record.responseHashes, bodyHash)
	}
}

// SlowStartOverloaded says that a node was overloaded in slow start.
func (r *Referee) SlowStartOverloaded(node string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violated(Violation{Rule: SlowStartOverload, At: at, Node: node, Text: fmt.Sprintf("%s was cold and got more than it could bear", node)})
}

// RequestEnded says how a request ended; bodyHash is that of a served body. It checks the rule Lost. It returns false, and counts
// nothing, when the request is not known or had ended before.
func (r *Referee) RequestEnded(id string, outcome Outcome, bodyHash uint64, at time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.requests[id]
	if record == nil || record.ended {
		return false
	}
	record.ended = true
	r.expireRequests(id, at)
	switch outcome {
	case Served:
		r.served(record, bodyHash, at)
	case Rejected:
		r.account.Rejected++
	case TimedOut:
		r.account.Unanswered++
	case ConnectionClosed:
		r.connectionClosed(record, at)
	default:
		r.account.Failed++
	}
	return true
}

// served checks that a served body is one that a node made for the request. r.mu is held.
func (r *Referee) served(record *requestRecord, bodyHash uint64, at time.Duration) {
	if r.trustResponses || slices.Contains(record.responseHashes, bodyHash) {
		r.account.Completed++
		return
	}
	r.lost(record, at, fmt.Sprintf("%s served %s with what no node made for it (%d attempts came to nodes)", record.Agent, record.ID, record.arrivals))
}

// connectionClosed judges a connection that closed without a response. A request that was forwarded had been read by the agent; of
// another nobody can say that. r.mu is held.
func (r *Referee) connectionClosed(record *requestRecord, at time.Duration) {
	if record.arrivals == 0 || r.isExcused(record, at) {
		r.account.Failed++
		return
	}
	r.lost(record, at, fmt.Sprintf("%s closed the connection of %s without an answer, after sending it on to %s", record.Agent, record.ID, record.lastNode))
}

func (r *Referee) lost(record *requestRecord, at time.Duration, text string) {
	r.violated(Violation{Rule: Lost, At: at, Request: record.ID, Agent: record.Agent, Node: record.lastNode, Text: text})
}

// expireRequests drops the requests that ended longer ago than they are retained. r.mu is held.
func (r *Referee) expireRequests(ended string, now time.Duration) {
	if r.rules.RetainFor == 0 {
		return
	}
	r.endedRequests = append(r.endedRequests, endedRequest{ended, now})
	for r.endedRequests[0].at < now-r.rules.RetainFor {
		delete(r.requests, r.endedRequests[0].id)
		r.endedRequests = r.endedRequests[1:]
	}
}

// isExcused reports whether a request was open while its agent was killed. r.mu is held.
func (r *Referee) isExcused(record *requestRecord, endedAt time.Duration) bool {
	return slices.ContainsFunc(r.excused[record.Agent], func(killed interval) bool {
		return record.At <= killed.to && endedAt >= killed.from
	})
}

// Forwarded reports whether a request has reached a node.
func (r *Referee) Forwarded(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.requests[id]
	return record != nil && record.arrivals > 0
}

// Account returns the account so far. Requests that have not ended are in Requests only.
func (r *Referee) Account() Account {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.account
}

// Violations returns the recorded violations, in the order in which they were found.
func (r *Referee) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}
