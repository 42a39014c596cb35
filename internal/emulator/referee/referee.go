package referee

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Request is a request as its caller sent it.
type Request struct {
	ID            string
	Agent         string        // the agent it was sent to; empty if the caller sent it to a node directly
	NonIdempotent bool          // must not be executed twice
	At            time.Duration // when it was sent
	Tenant        string
	Class         string
}

// Outcome is how a request ended for its caller.
type Outcome int

// The outcomes of a request.
const (
	Served           Outcome = iota // status 200
	Rejected                        // status 429 or 503
	Failed                          // any other status, or a malformed or truncated response
	TimedOut                        // no complete response before the timeout, or before the caller abandoned the request
	ConnectionClosed                // the connection closed before a response began
	NotSent                         // the request was not sent completely
)

// requestRecord is what the referee knows about a request.
type requestRecord struct {
	Request
	ended          bool
	arrivals       int    // how often it reached a node
	lastNode       string // the node that it reached last
	executions     []execution
	responseHashes []uint64 // of the bodies that nodes produced for it
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

// Referee counts the outcomes of a run's requests and records violations. It is safe for concurrent use. All times are relative to
// the same epoch.
type Referee struct {
	rules Rules

	mu             sync.Mutex
	account        Account
	violations     []Violation
	trustResponses bool
	requests       map[string]*requestRecord
	notifications  notifications
	excused        map[string][]interval // by agent: from each kill until the next process was ready
	endedRequests  []endedRequest        // in the order in which they ended; unused if Rules.RetainFor is 0
}

// New returns a referee for a new run.
func New(rules Rules) *Referee {
	return &Referee{
		rules:         rules,
		requests:      map[string]*requestRecord{},
		notifications: newNotifications(),
		excused:       map[string][]interval{},
	}
}

// violated counts a violation, and records it unless Rules.MaxViolations are recorded already. r.mu is held.
func (r *Referee) violated(v Violation) {
	r.account.countViolation(v.Rule)
	if len(r.violations) < r.rules.MaxViolations {
		r.violations = append(r.violations, v)
	}
}

// RequestSent reports that a caller is about to send a request.
func (r *Referee) RequestSent(request Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[request.ID] = &requestRecord{Request: request}
	r.account.Requests++
}

// KnownRequest reports whether a caller sent a request with that ID.
func (r *Referee) KnownRequest(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id] != nil
}

// AgentOf returns the agent that a request was sent to. It is empty if the request is unknown or was sent to a node directly.
func (r *Referee) AgentOf(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record := r.requests[id]; record != nil {
		return record.Agent
	}
	return ""
}

// TrustResponses makes the referee accept the body of any 200 response, for runs whose nodes do not report to it.
func (r *Referee) TrustResponses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trustResponses = true
}

// Notified reports that an agent has been notified whether a node accepts new requests.
func (r *Referee) Notified(agent, node string, accepts bool, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifications.set(agent, node, accepts, at)
}

// AgentKilled reports that an agent was killed at from and that its next process was ready at to. Requests that were open at
// some time in between are counted as failed rather than lost if their connection closes without a response. A response with a body
// that no node produced counts as lost all the same. The next process is not held to notifications that only the killed one received.
func (r *Referee) AgentKilled(agent string, from, to time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excused[agent] = append(r.excused[agent], interval{from, to})
	r.notifications.forgetAgent(agent)
}

// RequestArrived reports that a request reached a node, with the arrival time of its first byte. It checks the rule AfterDrain.
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

// checkDrain checks that an agent sends no new request to a node after it was notified that the node accepts none. r.mu is held.
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
		Text: fmt.Sprintf("%s sent %s to %s %.3fs after it was notified (at %.3fs) that the node accepts no new requests",
			record.Agent, record.ID, node, (arrived - notifiedAt).Seconds(), notifiedAt.Seconds()),
	})
}

// ExecutionStarted reports that a node started to execute a request, which may have taken effect from then on. It checks the rule
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
		Text: fmt.Sprintf("request %s, which is not idempotent, was executed on %s at %.3fs and again on %s at %.3fs, sent by %s",
			id, first.node, first.at.Seconds(), node, at.Seconds(), cmp.Or(record.Agent, "its caller directly")),
	})
}

// ResponseProduced reports the hash of a response body that a node produced for a request.
func (r *Referee) ResponseProduced(id string, bodyHash uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record := r.requests[id]; record != nil {
		record.responseHashes = append(record.responseHashes, bodyHash)
	}
}

// SlowStartOverloaded reports that a node was overloaded in slow start, which violates the rule SlowStartOverload.
func (r *Referee) SlowStartOverloaded(node string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violated(Violation{Rule: SlowStartOverload, At: at, Node: node, Text: fmt.Sprintf("%s was overloaded in slow start", node)})
}

// RequestEnded reports how a request ended; bodyHash is the hash of the response body and used only for Served. It checks the
// rule Lost. It returns false and counts nothing if the request is unknown or has already ended.
func (r *Referee) RequestEnded(id string, outcome Outcome, bodyHash uint64, at time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.requests[id]
	if record == nil || record.ended {
		return false
	}
	record.ended = true
	r.recordEnded(id, at)
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

// served checks that the response body is one that a node produced for the request. r.mu is held.
func (r *Referee) served(record *requestRecord, bodyHash uint64, at time.Duration) {
	if r.trustResponses || slices.Contains(record.responseHashes, bodyHash) {
		r.account.Completed++
		return
	}
	r.lost(record, at, fmt.Sprintf("%s answered %s with a body that no node produced for it (%d attempts reached nodes)", record.Agent, record.ID, record.arrivals))
}

// connectionClosed handles a connection that closed without a response. The request counts as lost only if it was forwarded to a
// node: without that there is no evidence that the agent had read it. r.mu is held.
func (r *Referee) connectionClosed(record *requestRecord, at time.Duration) {
	if record.arrivals == 0 || r.isExcused(record, at) {
		r.account.Failed++
		return
	}
	r.lost(record, at, fmt.Sprintf("%s closed the connection of %s without a response, after forwarding it to %s", record.Agent, record.ID, record.lastNode))
}

func (r *Referee) lost(record *requestRecord, at time.Duration, text string) {
	r.violated(Violation{Rule: Lost, At: at, Request: record.ID, Agent: record.Agent, Node: record.lastNode, Text: text})
}

// recordEnded adds a request to endedRequests, and deletes the records of those that ended more than Rules.RetainFor ago. It does
// nothing if RetainFor is 0, which retains all records. r.mu is held.
func (r *Referee) recordEnded(ended string, now time.Duration) {
	if r.rules.RetainFor == 0 {
		return
	}
	r.endedRequests = append(r.endedRequests, endedRequest{ended, now})
	for r.endedRequests[0].at < now-r.rules.RetainFor {
		delete(r.requests, r.endedRequests[0].id)
		r.endedRequests = r.endedRequests[1:]
	}
}

// isExcused reports whether a request was open at some time between a kill of its agent and the start of the next process. r.mu
// is held.
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

// Account returns the counts so far. Requests that have not ended are counted in Requests only.
func (r *Referee) Account() Account {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.account
}

// Violations returns the recorded violations in the order in which they were detected.
func (r *Referee) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}
