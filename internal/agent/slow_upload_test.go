package agent_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/emulator/link"
	"ryeweir/internal/emulator/peer"
)

// lateAnswerLimit is how long after a request's time its final answer may come, with the platform's margin for sockets.
const lateAnswerLimit = 550 * time.Millisecond

// readInLumps is a step that reads a request in pieces, each some time after the one before.
func readInLumps(lump int64, pause time.Duration) peer.Step {
	return func(s *peer.Session) error {
		for {
			if _, err := io.CopyN(io.Discard, s.In, lump); err != nil {
				return nil
			}
			time.Sleep(pause)
		}
	}
}

// longRequest returns the head and the body of an order of this size, with a length or in one chunk.
func longRequest(size int, chunked bool) (head, body string) {
	head, body = requestHead("POST", "/place-order", size), strings.Repeat("x", size)
	if !chunked {
		return head, body
	}
	head = strings.Replace(head, fmt.Sprintf("Content-Length: %d", size), "Transfer-Encoding: chunked", 1)
	return head, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
}

// Guards against a final answer that comes seconds after its time, because an endpoint reads a long request slowly: its client had written all of it long
// before, and each wait of a few milliseconds for bytes on their way from the client's kernel was taken for one for the client.
func TestRequestReadSlowlyByItsEndpointIsAnsweredInTime(t *testing.T) {
	for _, size := range []int{1 << 20, 3 << 20} {
		for _, delay := range []time.Duration{0, 3 * time.Millisecond, 20 * time.Millisecond} { // from the client to the agent
			for _, lump := range []int64{16 << 10, 100 << 10, 320 << 10} {
				for _, chunked := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d bytes, delayed by %v, %d at a time, chunked %v", size, delay, lump, chunked), func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) {
							a := startScriptedAgent(t, []peer.Step{readInLumps(lump, 600*time.Millisecond)})
							defer a.close()
							a.network.Set("app", "agent", link.Conditions{Delay: delay})
							head, body := longRequest(size, chunked)
							client := a.connectAndWrite(head)
							defer client.Close()
							written := time.Now()
							go io.WriteString(client, body) // what the connection does not take at once waits in the client's kernel
							status, _, _ := readAnswer(client)
							took := time.Since(written) - time.Second // readAnswer waits for a second after the answer
							if status != http.StatusBadGateway && status != http.StatusServiceUnavailable || took > requestTimeout+lateAnswerLimit {
								t.Errorf("status %d after %v", status, took)
							}
						})
					})
				}
			}
		}
	}
}
