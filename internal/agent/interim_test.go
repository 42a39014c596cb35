package agent_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/emulator/peer"
	"ryeweir/internal/httpmsg"
)

// uploadSlowly writes a body of pieces of 4 KiB, one each 62 ms (64 kB a second), with a length or in chunks.
func (a *scriptedAgent) uploadSlowly(pieces int, chunked bool) io.ReadCloser {
	a.t.Helper()
	const piece = 4 << 10
	head, before, after, end := requestHead("POST", "/place-order", pieces*piece), "", "", ""
	if chunked {
		head = strings.Replace(head, fmt.Sprintf("Content-Length: %d", pieces*piece), "Transfer-Encoding: chunked", 1)
		before, after, end = fmt.Sprintf("%x\r\n", piece), "\r\n", "0\r\n\r\n"
	}
	client := a.connectAndWrite(head)
	go func() {
		for range pieces {
			if _, err := io.WriteString(client, before+strings.Repeat("x", piece)+after); err != nil {
				return
			}
			time.Sleep(62 * time.Millisecond)
		}
		io.WriteString(client, end)
	}()
	return client
}

// requestBegins is a step that waits for the first bytes of a request and leaves them unread.
func requestBegins(s *peer.Session) error {
	_, err := s.In.Peek(len("POST "))
	return err
}

// Guards against an interim response (1xx) that is taken for the answer to a long request: the upload was stopped, its endpoint waited for the rest in
// vain, and the request was sent to one endpoint after another. Only a final response may end an upload.
func TestInterimResponseEndsNoUpload(t *testing.T) {
	const hint, proceed = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"
	for name, script := range map[string][]peer.Step{
		"before the body":         {requestBegins, peer.Send(hint), peer.Request(), peer.Send(peer.OK("fine"))},
		"several":                 {requestBegins, peer.Send(proceed + hint + hint), peer.Request(), peer.Send(peer.OK("fine"))},
		"in two pieces":           {requestBegins, peer.Send(hint[:20]), peer.Wait(2 * time.Second), peer.Send(hint[20:]), peer.Request(), peer.Send(peer.OK("fine"))},
		"one behind the other":    {requestBegins, peer.Send(proceed + hint[:5]), peer.Wait(2 * time.Second), peer.Send(hint[5:]), peer.Request(), peer.Send(peer.OK("fine"))},
		"after the body as well":  {requestBegins, peer.Send(hint), peer.Request(), peer.Send(hint), peer.Wait(300 * time.Millisecond), peer.Send(hint + peer.OK("fine"))},
		"beside a slow endpoint":  {requestBegins, peer.Send(hint), peer.Wait(httpmsg.LongestSilence), peer.Request(), peer.Send(peer.OK("fine"))},
		"long before the answer":  {peer.Request(), peer.Send(hint), peer.Wait(500 * time.Millisecond), peer.Send(peer.OK("fine"))},
		"in the middle of a body": {requestBegins, peer.Wait(5 * time.Second), peer.Send(hint), peer.Request(), peer.Send(peer.OK("fine"))},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %v", name, chunked), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					a := startScriptedAgent(t, append(script, peer.Silence()), serveAll())
					defer a.close()
					const pieces = 180 // for over 11 s, longer than an endpoint may be silent within a response
					client := a.uploadSlowly(pieces, chunked)
					defer client.Close()
					resp, body := readResponse(t, client)
					if resp.StatusCode != http.StatusOK || body != "fine" {
						t.Errorf("status %d, body %q", resp.StatusCode, body)
					}
					if got := a.endpoint.Requests(); len(got) != 1 || len(got[0].Body) != pieces*4<<10 {
						t.Errorf("the endpoint has read %d requests", len(got))
					}
				})
			})
		}
	}
}

// An endpoint that answers for good while a long request still arrives must be heard at once, also behind interim responses, and one that only sends
// interim responses must be given up when the client's time is over.
func TestFinalResponseBehindInterimOnesEndsTheUpload(t *testing.T) {
	const hint = "HTTP/1.1 103 Early Hints\r\n\r\n"
	for name, c := range map[string]struct {
		script []peer.Step
		want   int
		limit  time.Duration // after the last piece, or before it if negative
	}{
		"a final 413": {[]peer.Step{requestBegins, peer.Send(hint + "HTTP/1.1 413 Long\r\nContent-Length: 0\r\n\r\n"), peer.Silence()}, http.StatusServiceUnavailable, -time.Second},
		"a final 200": {[]peer.Step{requestBegins, peer.Send(hint + peer.OK("fine")), peer.Silence()}, http.StatusOK, -time.Second},
		"noise":       {[]peer.Step{requestBegins, peer.Send(hint + "\x16noise"), peer.Silence()}, http.StatusServiceUnavailable, -time.Second},
		"none":        {[]peer.Step{requestBegins, peer.Send(hint), peer.Request(), peer.Silence()}, http.StatusBadGateway, 1350 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				a := startScriptedAgent(t, c.script, c.script, c.script, c.script, c.script)
				defer a.close()
				const pieces = 100
				began := time.Now()
				client := a.uploadSlowly(pieces, true)
				defer client.Close()
				resp, _ := readResponse(t, client)
				if late := time.Since(began) - pieces*62*time.Millisecond; resp.StatusCode != c.want || late > c.limit {
					t.Errorf("status %d, %v after the last piece", resp.StatusCode, late)
				}
			})
		})
	}
}

// readResponse reads a response with its body.
func readResponse(t *testing.T, r io.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(r), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp, string(body)
}
