package agent

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"ryeweir/internal/testkit"
)

// respondTellingLess returns a script whose first response has a body of size bytes and a head that tells fewer. Later ones are sound.
func respondTellingLess(told, size int) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, _ *http.Request, n int) bool {
		if n > 1 {
			told = size
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", told, longText(size))
		return err == nil
	}
}

// Guards against a part of an answer that is served as the whole: its head told a smaller length than its body had. A request that may be sent again
// must get a sound answer, any other must fail, and what has been passed on by then must look truncated.
func TestAnswerLongerThanItsLengthIsNotServedAsWhole(t *testing.T) {
	for _, length := range []struct{ told, size int }{
		{0, 10}, {1000, 1001}, {1000, 2000}, {6000, 12000}, {40000, 60000}, {65536, 65600}, {100000, 100500}, {300000, 600000},
	} {
		t.Run(fmt.Sprintf("%d of %d", length.told, length.size), func(t *testing.T) {
			t.Parallel()
			whole := longText(length.size)
			for _, request := range []struct {
				method, path string
				http10       bool // the client speaks HTTP/1.0
			}{{http.MethodGet, "/form-check", false}, {http.MethodPost, "/pay", false}, {http.MethodPost, "/pay", true}} {
				b := testkit.NewBackend(t, respondTellingLess(length.told, length.size))
				a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
				client := a.dial(t)
				if request.http10 {
					writeHTTP10Request(client)
				} else {
					a.newRequest(t, request.method, request.path, "").Write(client)
				}
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				if resp.StatusCode == http.StatusOK && err == nil && string(body) != whole {
					t.Errorf("%s: %d of %d bytes were served as the whole", request.path, len(body), length.size)
				}
				if repeatable := request.method == http.MethodGet && length.told <= 60000; repeatable && (resp.StatusCode != http.StatusOK || string(body) != whole) {
					t.Errorf("%s: status %d, %d bytes, error %v; the request was not sent again", request.path, resp.StatusCode, len(body), err)
				}
			}
		})
	}
}

// Answers that are good yet bring more than belongs to them must be served, as long as their end is certain.
func TestSoundAnswerWithMoreBehindItIsServed(t *testing.T) {
	t.Parallel()
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"
	for name, response := range map[string]string{
		"a second copy": testkit.OKResponse + testkit.OKResponse, "a second copy, chunked": chunked + chunked, "noise, chunked": chunked + "\x00noise",
		"interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + testkit.OKResponse,
	} {
		b := testkit.NewBackend(t, testkit.RespondWith(response))
		a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
		for range 3 {
			if got := send(t, a.pay(t, "x")); got.status != http.StatusOK || got.body != "fine" {
				t.Errorf("%s: status %d, body %q", name, got.status, got.body)
			}
		}
	}
}

// Guards against a part of a request that runs as if it were the whole: its head told a smaller length than its body had. The client must get an error or
// a close, and no endpoint the request.
func TestRequestLongerThanItsLengthIsNotForwarded(t *testing.T) {
	for _, length := range []struct{ told, size int }{
		{0, 10}, {10, 20}, {1000, 1001}, {1000, 2000}, {6000, 12000}, {40000, 80000}, {65536, 65600}, {100000, 100500}, {300000, 600000},
	} {
		t.Run(fmt.Sprintf("%d of %d", length.told, length.size), func(t *testing.T) {
			t.Parallel()
			b := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
			a := startAgent(t, testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0)), 0)
			for range 5 {
				client := a.dial(t)
				var request bytes.Buffer
				a.pay(t, longText(length.told)).Write(&request)
				if length.told == 0 {
					request.Reset()
					fmt.Fprintf(&request, "POST /pay HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %016x\r\nX-Tenant-Id: acme\r\nContent-Length: 0\r\n\r\n", rand.Uint64())
				}
				request.WriteString(longText(length.size)[length.told:])
				go client.Write(request.Bytes())
				client.SetReadDeadline(time.Now().Add(3 * time.Second))
				if resp, err := http.ReadResponse(bufio.NewReader(client), nil); err == nil && resp.StatusCode < 400 {
					t.Errorf("status %d", resp.StatusCode)
				} else if errors.Is(err, os.ErrDeadlineExceeded) {
					t.Error("neither an error nor a close within 3 s")
				}
				client.Close()
			}
			if n := b.Requests(); n != 0 {
				t.Errorf("an endpoint read %d requests", n)
			}
			if broken := a.readCounters(t).Invariants["closed_unanswered"]; broken > 0 {
				t.Errorf("the agent counts %d connections as closed without an answer", broken)
			}
		})
	}
}
