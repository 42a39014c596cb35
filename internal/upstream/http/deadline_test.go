package http

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"ryeweir/internal/core"
	"ryeweir/internal/httpmsg"
)

// responsePiece is a part of a response that an endpoint writes some time after the one before.
type responsePiece struct {
	after      time.Duration
	text       string
	inResponse bool // the response that it ends in goes on after it
}

// drawResponses draws interim responses and a final one. Some of them come in two pieces, and some pieces with the one before.
func drawResponses(t *rapid.T) (pieces []responsePiece) {
	for _, piece := range drawSeparateResponses(t) {
		if last := len(pieces) - 1; last >= 0 && rapid.Bool().Draw(t, "with the piece before") {
			pieces[last].text += piece.text
			pieces[last].inResponse = piece.inResponse
			continue
		}
		pieces = append(pieces, piece)
	}
	return pieces
}

// drawSeparateResponses draws the responses without joining pieces.
func drawSeparateResponses(t *rapid.T) (pieces []responsePiece) {
	pause := rapid.Custom(func(t *rapid.T) time.Duration {
		// Odd times, so that no piece comes at the very time of a deadline.
		return rapid.SampledFrom([]time.Duration{0, 300, 900, 1700, 4000, 7000, 9000, 20000}).Draw(t, "pause")*time.Millisecond + 7*time.Microsecond
	})
	for interim := rapid.IntRange(0, maxInterimResponses-1).Draw(t, "interim responses"); interim >= 0; interim-- {
		text := "HTTP/1.1 103 Early Hints\r\n\r\n"
		if interim == 0 {
			text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		}
		if rapid.Bool().Draw(t, "in two pieces") {
			pieces = append(pieces, responsePiece{pause.Draw(t, "pause before"), text[:20], true})
			text = text[20:]
		}
		pieces = append(pieces, responsePiece{pause.Draw(t, "pause before"), text, false})
	}
	return pieces
}

// endOfAwait is the rule: it returns when the head has been read, or why not and when. The request's last byte is written at the given time, and the
// client's time begins then. Until then a request may take any time.
func endOfAwait(pieces []responsePiece, written, timeout time.Duration) (end time.Duration, complete bool) {
	var now time.Duration
	inResponse := false
	for _, piece := range pieces {
		limit := max(now, written+timeout)
		if inResponse {
			limit = min(limit, now+httpmsg.EndpointStallTimeout)
		}
		if now+piece.after >= limit {
			return limit, false
		}
		now += piece.after
		inResponse = piece.inResponse
	}
	return now, true
}

// Whatever the order of interim responses, pieces of heads and the end of the write, the wait for the final response must end with it, at the client's
// deadline once that is known, or when the endpoint stalls in the middle of a response, and at no other time.
func TestAwaitEndsAtTheDeadlineThatIsKnown(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pieces := drawResponses(rt)
		written := time.Duration(rapid.IntRange(0, 300).Draw(rt, "written after")) * 100 * time.Millisecond
		const timeout = 2 * time.Second
		want, complete := endOfAwait(pieces, written, timeout)
		synctest.Test(t, func(t *testing.T) {
			agent, endpoint := net.Pipe()
			defer agent.Close()
			clock := core.NewClock()
			state := NewConnState(agent).(*connState)
			call := &core.Call{Timeout: timeout}
			x := &exchange{Upstream: &Upstream{Clock: clock}, state: state,
				attempt: core.NewAttempt(call, nil, clock.Now()+httpmsg.MaxUploadDuration, 0, func(core.Outcome) {})}
			x.hold.exchange = x
			state.startExchange(x.readDeadline, x.hold.expired)
			go func() {
				defer endpoint.Close()
				for _, piece := range pieces {
					time.Sleep(piece.after)
					if _, err := io.WriteString(endpoint, piece.text); err != nil {
						return
					}
				}
				time.Sleep(time.Hour)
			}()
			time.AfterFunc(written, func() {
				x.attempt.BodyWritten(clock.Now(), 0)
				state.deadline.refresh()
			})
			began := time.Now()
			response, err := state.readHead()
			got := time.Since(began)
			agent.Close()
			time.Sleep(2 * time.Hour) // until the endpoint and the timer have ended
			if (response != nil) != complete || (got-want).Abs() > time.Millisecond {
				rt.Fatalf("ended after %v, complete %v, error %v; want %v, complete %v", got, response != nil, err, want, complete)
			}
		})
	})
}
