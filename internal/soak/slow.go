package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// The modes of a ServerSlow fault.
const (
	SlowAnswer Mode = "slowanswer" // gives a long answer slowly, with any framing, and begins it at any time within the time allowed
	SlowReader Mode = "slowreader" // reads a request slowly
)

// slowModes are the modes that a ServerSlow fault draws from.
var slowModes = []Mode{SlowAnswer, SlowReader}

const (
	maxSlowPause    = 1200 * time.Millisecond // between two pieces of a slow answer
	slowReadBuffer  = 16 << 10                // receive buffer of a connection whose request is read slowly, in bytes
	slowReadPause   = 50 * time.Millisecond   // between two reads of such a request
	maxSlowReadRate = 200 << 10               // bytes per second
	minSlowReadRate = 16 << 10                // bytes per second
	// maxHTTP10Share is the largest fraction of requests that a plan lets clients send by HTTP/1.0.
	maxHTTP10Share = 0.2
)

// drawSlowTransfers draws slow servers, clients with long bodies beside them, and the fraction of requests that are sent by HTTP/1.0. It draws from a
// generator of its own, so that all else in the plan of a seed stays as it is.
func drawSlowTransfers(plan *Plan) {
	rng := rand.New(rand.NewPCG(plan.Seed, 61))
	plan.http10Share = maxHTTP10Share * rng.Float64()
	for range 1 + rng.IntN(4) {
		from := quietStart + time.Duration(rng.Float64()*float64(plan.Length-quietStart-quietEnd))
		slow := drawFault(rng, plan, from, FaultKinds{ServerSlow})
		burst := drawFault(rng, plan, slow.Start, FaultKinds{ClientBurst})
		burst.Detail, burst.Start, burst.Duration = string(longBody), slow.Start, slow.Duration
		plan.Faults = append(plan.Faults, slow, burst)
	}
}

// readSlowly reads a request's body at a drawn rate.
func (b *backend) readSlowly(body io.Reader) error {
	rate := minSlowReadRate + int64(b.randomDuration(0, maxSlowReadRate-minSlowReadRate))
	for {
		_, err := io.CopyN(io.Discard, body, rate*int64(slowReadPause)/int64(time.Second))
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(slowReadPause)
	}
}

// slowFramings are the heads of slow answers. What follows a head is framed as it says.
var slowFramings = []string{
	"HTTP/1.1 200 OK\r\nConnection: close\r\n",
	"HTTP/1.0 200 OK\r\n",
	"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n",
	"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n", // in one chunk
	"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\nX-Pieces: 1\r\n",
}

// writeSlowly gives a long answer slowly: steadily or in lumps.
func (r *response) writeSlowly() bool {
	b := r.backend
	body := r.attempt.ResponseBody + strings.Repeat(".", 70<<10+int(b.randomDuration(0, 130<<10)))
	head := slowFramings[b.randomDuration(0, time.Duration(len(slowFramings)))]
	if strings.Contains(head, "%d") {
		head = fmt.Sprintf(head, len(body))
	}
	chunked, pieces := strings.Contains(head, "chunked"), strings.Contains(head, "X-Pieces")
	size, pause := 2<<10+int(b.randomDuration(0, 8<<10)), b.randomDuration(30*time.Millisecond, 60*time.Millisecond)
	if b.randomDuration(0, 2) == 0 {
		size, pause = 30<<10+int(b.randomDuration(0, 40<<10)), b.randomDuration(maxSlowPause/2, maxSlowPause)
	}
	time.Sleep(r.attempt.GivesFrom - monotonic())
	r.write(head, "\r\n")
	if chunked && !pieces {
		r.write(fmt.Sprintf("%x\r\n", len(body)))
	}
	for first := true; len(body) > 0; first = false {
		if !first {
			time.Sleep(pause)
		}
		piece := body[:min(len(body), size)]
		body = body[len(piece):]
		if pieces {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if !r.write(piece) {
			return false
		}
	}
	if chunked && !pieces {
		r.write("\r\n")
	}
	if chunked {
		r.write("0\r\n\r\n")
	}
	return false
}

// checkSlowAnswer checks that an answer is passed on for as long as its server gives it: it is not failed at the deadline, if the server began it well
// before that, and no part of it is held back. A broken answer is checked elsewhere.
func (check *checker) checkSlowAnswer(request *Request, attempts []Attempt) {
	for _, attempt := range attempts {
		if attempt.GivesFrom == 0 || check.slowAnswerExcused(request, attempt) {
			continue
		}
		const bestCaseBound = 100 * time.Millisecond // from the head to the deadline
		began := attempt.GivesFrom + bestCaseBound + check.tolerance
		if request.Status != http.StatusOK && began < request.SentAt+request.Timeout && attempt.GivesFrom < request.EndedAt {
			check.report("cut off", request.EndedAt, request, "%s, which server %s gave from %v before the request's time was over", request.outcome(),
				attempt.Backend, (request.SentAt + request.Timeout - attempt.GivesFrom).Round(time.Millisecond))
		}
		if request.Status == http.StatusOK && request.LongestGap > maxSlowPause+holdBound+check.tolerance {
			check.report("held back", request.EndedAt, request, "nothing came for %v of an answer that server %s was giving", request.LongestGap.Round(time.Millisecond), attempt.Backend)
		}
	}
}

// slowAnswerExcused reports whether a fault beside the slow answer may have ended it, or kept it from the agent.
func (check *checker) slowAnswerExcused(request *Request, attempt Attempt) bool {
	server, incarnation := check.serverIndex[attempt.Backend], check.incarnationOf(request)
	if incarnation.killedAt > 0 && incarnation.killedAt <= request.EndedAt+check.tolerance ||
		slices.ContainsFunc(incarnation.clientReadFaults, func(f span) bool { return f.overlaps(request.SentAt-time.Second, request.EndedAt, 0) }) {
		return true
	}
	if check.servers[server].instance > attempt.Instance || check.overLimit(request) ||
		check.disturbed(incarnation, server, attempt.FirstByteAt, request.EndedAt) {
		return true
	}
	for _, fault := range check.plan.Faults {
		switch fault.Kind {
		case ServerReadFails, ServerWriteFails, ServerResets, PathReset, AgentThrottle:
			if (span{check.startedAt + fault.Start, check.startedAt + fault.Start + fault.Duration}).overlaps(attempt.FirstByteAt, request.EndedAt, time.Second) {
				return true
			}
		}
	}
	return false
}
