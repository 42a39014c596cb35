package http

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

// Endpoints answer in every form, including damaged ones. The balancer decides on a retry by the outcome, so the outcome must state
// exactly whether the request may have run: a retry after a wrong "did not run" applies an effect twice.
func TestOutcomeSaysExactlyWhatMayHaveRun(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		script func(net.Conn, *http.Request, int) bool
		want   logic.Result
		idle   int
	}{
		"served":                     {testkit.RespondWith(testkit.OKResponse), logic.OK, 1},
		"served, then closed":        {testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nfine"), logic.OK, 0},
		"chunked":                    {testkit.RespondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"), logic.OK, 1},
		"after an interim response":  {testkit.RespondWith("HTTP/1.1 103 Early Hints\r\n\r\n" + testkit.OKResponse), logic.OK, 1},
		"more than one response":     {testkit.RespondWith(testkit.OKResponse + testkit.OKResponse), logic.OK, 0},
		"error":                      {testkit.RespondWith("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), logic.Failed, 1},
		"503 that may have run":      {testkit.RespondWith("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), logic.Failed, 1},
		"503 not processed":          {testkit.RespondWith("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), logic.Rejected, 1},
		"504 not processed":          {testkit.RespondWith("HTTP/1.1 504 Late\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), logic.Rejected, 1},
		"500 that claims not to run": {testkit.RespondWith("HTTP/1.1 500 Oops\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), logic.Failed, 1},
		"closed":                     {testkit.CloseConnection, logic.Reset, 0},
		"reset":                      {resetsConnection, logic.Reset, 0},
		"garbage":                    {testkit.RespondWith("no HTTP at all\r\n\r\n"), logic.Reset, 0},
		"endless head":               {testkit.RespondWith("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 8*maxHeadBytes)), logic.Reset, 0},
		"switching protocols":        {testkit.RespondWith("HTTP/1.1 101 Other\r\n\r\nsomething else\r\n\r\n"), logic.Reset, 0},
		"error longer than the buffer": {testkit.RespondWith("HTTP/1.1 500 Oops\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000)),
			logic.Failed, 0},
		// These leave the connection open without sending more. The attempt must not wait for that until its deadline.
		"noise with no line":        {testkit.RespondWith("\x16\x03\x01noise"), logic.Reset, 0},
		"noise like a response":     {testkit.RespondWith("HTTPS"), logic.Reset, 0},
		"half a head":               {testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Le"), logic.Reset, 0},
		"half a body":               {testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nfine"), logic.Reset, 0},
		"a chunk with no size":      {testkit.RespondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\nzz\r\nfine\r\n"), logic.Reset, 0},
		"a chunk with a bare LF":    {testkit.RespondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\n4\r\nfine\r\n0\r\n\r\n"), logic.Reset, 0},
		"a length of 3 GB":          {testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nfine"), logic.Reset, 0},
		"two lengths":               {testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nfine"), logic.Reset, 0},
		"negative length":           {testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nfine"), logic.Reset, 0},
		"endless interim responses": {testkit.RespondWith(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 2*maxInterimResponses)), logic.Reset, 0},
		// Bytes behind a Content-Length that begin no response may be the rest of a body whose head tells too little. Behind a chunked body, which
		// marks its own end, they are noise.
		"body longer than its length": {testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfinely made"), logic.Reset, 0},
		"body without its length":     {testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nfine"), logic.Reset, 0},
		"noise behind a length":       {testkit.RespondWith(testkit.OKResponse + "\x00noise"), logic.Reset, 0},
		"noise behind chunks":         {testkit.RespondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n\x00noise"), logic.OK, 0},
		"a response behind chunks":    {testkit.RespondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n" + testkit.OKResponse), logic.OK, 0},
		"a chunk longer than its size": {testkit.RespondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfinely made\r\n0\r\n\r\n"),
			logic.Reset, 0},
		"a 503 longer than its length": {testkit.RespondWith("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\nbusy"), logic.Reset, 0},
		"a 503 and a second one": {testkit.RespondWith(strings.Repeat("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", 2)),
			logic.Rejected, 0},
		// A body without a length ends with the connection. An endpoint that dies in the middle of one resets the connection.
		"no length, then closed": {func(c net.Conn, r *http.Request, n int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nfine")
			return false
		}, logic.OK, 0},
		"no length, then reset": {func(c net.Conn, r *http.Request, n int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nfine")
			return resetsConnection(c, r, n)
		}, logic.Reset, 0},
		"truncated": {func(c net.Conn, r *http.Request, n int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nfine")
			return false
		}, logic.Reset, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // some wait for the end of a pause
			backend := testkit.NewBackend(t, test.script)
			f := newFixture(t, backend.Addr().String(), 100)
			attempt := f.attempt(testkit.WaitTimeout)
			out := f.execute(attempt)
			if out.Result != test.want {
				t.Errorf("result %v, want %v", out.Result, test.want)
			}
			if body := out.text(t); (out.Result == logic.OK) != (body == "fine") {
				t.Errorf("body %q", body)
			}
			if latency := f.Clock.Now() - attempt.SentAt; latency > testkit.WaitTimeout/2 {
				t.Errorf("the attempt took %v", latency)
			}
			if backend.Requests() != 1 {
				t.Errorf("the backend received %d requests, want 1", backend.Requests())
			}
			if f.idleConnections() != test.idle {
				t.Errorf("%d idle connections, want %d", f.idleConnections(), test.idle)
			}
		})
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	f := newFixture(t, testkit.RefusingAddr(t), 100)
	if out := f.execute(f.attempt(testkit.WaitTimeout)); out.Result != logic.ConnectFailed {
		t.Errorf("result %v", out.Result)
	}
}

func TestSilentEndpointTimesOut(t *testing.T) {
	t.Parallel()
	backend := testkit.NewBackend(t, testkit.NeverRespond)
	f := newFixture(t, backend.Addr().String(), 100)
	if out := f.execute(f.attempt(time.Second)); out.Result != logic.TimedOut {
		t.Errorf("result %v", out.Result)
	}
	if n := f.openConnections(); n != 0 {
		t.Errorf("%d connections are still open", n)
	}
}

// A reused connection breaks under a request. The outcome must be one Reset, and nothing may be sent again. net/http's Transport
// would send the request again on its own, which can apply an effect twice.
func TestBrokenConnectionIsNotRetriedByTheUpstream(t *testing.T) {
	backend := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		return n == 1 && testkit.RespondWith(testkit.OKResponse)(c, r, n)
	})
	f := newFixture(t, backend.Addr().String(), 100)
	if out := f.execute(f.attempt(testkit.WaitTimeout)); out.Result != logic.OK {
		t.Fatalf("first attempt: result %v", out.Result)
	}
	if out := f.execute(f.attempt(testkit.WaitTimeout)); out.Result != logic.Reset {
		t.Errorf("second attempt: result %v, want a Reset", out.Result)
	}
	if backend.Requests() != 2 || backend.Connections() != 1 {
		t.Errorf("%d requests on %d connections, want 2 on 1", backend.Requests(), backend.Connections())
	}
}

// Clients set deadlines below the latency objective of the class. Their attempts must get exact outcomes, also if a response has
// started to arrive or the deadline has passed before the write. Each attempt may cost only its own connection, because it is no
// evidence against the endpoint.
func TestShortDeadlinesCostNoOtherConnections(t *testing.T) {
	t.Parallel()
	const idle = 6
	// This is far below the objective, and long enough that a machine which stalls briefly still provides a connection in time. A
	// deadline that passes before that is a different case: NotSent.
	const belowObjective = 500 * time.Millisecond
	var together sync.WaitGroup
	together.Add(idle)
	backend := testkit.NewBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		if n <= idle {
			together.Done()
			together.Wait()
			return testkit.RespondWith(testkit.OKResponse)(c, r, n)
		}
		if n == idle+1 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfi")
		}
		return testkit.NeverRespond(c, r, n)
	})
	f := newFixture(t, backend.Addr().String(), 40)
	var all sync.WaitGroup
	for range idle {
		all.Go(func() { f.execute(f.attempt(testkit.WaitTimeout)).Content.Discard() })
	}
	all.Wait()
	if f.idleConnections() != idle {
		t.Fatalf("%d connections are idle after the first attempts", f.idleConnections())
	}
	for i, test := range []struct {
		timeout, objective time.Duration
		want               logic.Result
	}{
		{belowObjective, time.Minute, logic.TimedOut},
		{belowObjective, time.Minute, logic.TimedOut},
		{belowObjective, time.Minute, logic.TimedOut},
		{-time.Millisecond, time.Minute, logic.NotSent},
		{-time.Millisecond, 0, logic.ConnectFailed}, // the endpoint had its whole latency objective and did not take the request
	} {
		attempt := f.attemptOn(endpointID, test.timeout, time.Second)
		attempt.Call.LatencyObjective = test.objective
		if out := f.execute(attempt); out.Result != test.want || out.Content != nil {
			t.Errorf("timeout %v: result %d", test.timeout, out.Result)
		}
		if n := f.idleConnections(); n != idle-1-i || f.openConnections() != n {
			t.Errorf("after %d attempts %d of %d open connections are idle", i+1, n, f.openConnections())
		}
	}
}

// A connect fails because the agent is out of file descriptors, ports or memory. The attempt must count as not sent, so that no
// endpoint is ejected for it. An error of the network or of the endpoint must count as a failed connect.
func TestLocalConnectErrorsAreNoEvidenceAgainstTheEndpoint(t *testing.T) {
	for errno, want := range map[syscall.Errno]logic.Result{
		syscall.EMFILE: logic.NotSent, syscall.ENFILE: logic.NotSent, syscall.ENOBUFS: logic.NotSent, syscall.ENOMEM: logic.NotSent,
		syscall.EADDRNOTAVAIL: logic.NotSent, syscall.EAGAIN: logic.NotSent, syscall.EPERM: logic.NotSent,
		syscall.ECONNREFUSED: logic.ConnectFailed, syscall.ETIMEDOUT: logic.ConnectFailed, syscall.EHOSTUNREACH: logic.ConnectFailed,
		syscall.ENETUNREACH: logic.ConnectFailed, syscall.ECONNRESET: logic.ConnectFailed,
	} {
		f := newFixtureWithDial(t, "127.0.0.1:1", 10, time.Second, func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		})
		if out := f.execute(f.attempt(time.Second)); out.Result != want {
			t.Errorf("%v: %v, want %v", errno, out.Result, want)
		}
	}
}
