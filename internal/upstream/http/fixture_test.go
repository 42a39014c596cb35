package http

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ryeweir/internal/bodybuffer"
	"ryeweir/internal/core"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/pool"
	"ryeweir/logic"
)

const (
	endpointID = "b"
	requestID  = "9b1f03aa5c7e2d41"
)

// fixture is an Upstream with one listed endpoint.
type fixture struct {
	*Upstream
	malformedReports []error
}

func newFixture(t *testing.T, addr string, maxConnections int) *fixture {
	t.Helper()
	return newFixtureWithDial(t, addr, maxConnections, 2*time.Second, nil)
}

func newFixtureWithDial(t *testing.T, addr string, maxConnections int, connectTimeout time.Duration, dial pool.DialFunc) *fixture {
	t.Helper()
	clock := core.NewClock()
	settings := pool.DefaultSettings(maxConnections)
	settings.AcquireTimeout = connectTimeout
	connections, err := pool.New(pool.Config{Settings: settings, ConnectTimeout: connectTimeout, Clock: clock, Dial: dial, NewState: NewConnState})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(connections.Close)
	f := &fixture{}
	f.Upstream = &Upstream{
		Pool:              connections,
		Clock:             clock,
		Budget:            bodybuffer.NewBudget(1 << 20),
		LoadReportFields:  []string{"util", "qps", "eps"},
		OnRequestWritten:  func() {},
		OnMalformedReport: func(err error) { f.malformedReports = append(f.malformedReports, err) },
	}
	f.listEndpoint(addr, logic.Ready, 0)
	return f
}

// listEndpoint makes the endpoint the only listed one.
func (f *fixture) listEndpoint(addr string, state logic.EndpointState, startedAt time.Duration) {
	endpoint := core.Endpoint{Endpoint: logic.Endpoint{ID: endpointID, State: state, StartedAt: startedAt}, Addr: addr}
	f.UpdateEndpoints(core.EndpointList{Full: true, Endpoints: []core.Endpoint{endpoint}})
}

// testAttempt is an attempt with the channel on which its outcome is reported.
type testAttempt struct {
	*core.Attempt
	reported chan core.Outcome
}

// attempt returns an attempt of a request with an idempotency key, with the given timeout.
func (f *fixture) attempt(timeout time.Duration) testAttempt {
	return f.attemptOn(endpointID, timeout, timeout)
}

// attemptOn returns an attempt on the given endpoint whose write must start within writeTimeout.
func (f *fixture) attemptOn(id string, timeout, writeTimeout time.Duration) testAttempt {
	call := &core.Call{ID: requestID, Timeout: timeout, Message: &httpmsg.Message{
		Head: []byte("POST /refund-record HTTP/1.1\r\nHost: origin.svc\r\nIdempotency-Key: k\r\nX-Request-Id: " + requestID + "\r\nContent-Length: 4\r\n"),
		Body: httpmsg.Body{Buffered: []byte("body"), Length: 4}}}
	reported := make(chan core.Outcome, 1)
	now := f.Clock.Now()
	attempt := core.NewAttempt(call, f.Bind(id), now+timeout, now+writeTimeout, func(o core.Outcome) { reported <- o })
	attempt.SentAt = now
	return testAttempt{attempt, reported}
}

// outcome is the reported outcome of an attempt.
type outcome struct{ core.Outcome }

// execute executes an attempt and returns its outcome.
func (f *fixture) execute(attempt testAttempt) outcome {
	f.Execute(context.Background(), attempt.Attempt)
	return outcome{<-attempt.reported}
}

// text returns the body of the response, or "" if there is none.
func (o outcome) text(t *testing.T) string {
	t.Helper()
	if o.Content == nil {
		return ""
	}
	defer o.Content.Discard()
	var body strings.Builder
	if _, err := o.Content.(*httpmsg.Content).Pipe.WriteTo(&body); err != nil {
		t.Error(err)
	}
	return body.String()
}

func (f *fixture) idleConnections() int { return f.Pool.Stats().Idle }

func (f *fixture) openConnections() int { return f.Pool.Stats().Open }

// resetsConnection is a backend script that resets the connection.
func resetsConnection(c net.Conn, _ *http.Request, _ int) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

// dialBlockedUntil returns a dial function that, for this address, blocks until unblock is closed, as if the machine did not
// respond. began receives a value for each such dial.
func dialBlockedUntil(addr string, unblock chan struct{}) (dial pool.DialFunc, began chan struct{}) {
	began = make(chan struct{}, 1)
	return func(ctx context.Context, network, to string) (net.Conn, error) {
		if to == addr {
			began <- struct{}{}
			select {
			case <-unblock:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		return (&net.Dialer{}).DialContext(ctx, network, to)
	}, began
}
