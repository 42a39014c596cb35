package agent_test

import (
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

// pausingAnswers returns scripts of endpoints that fall silent after the first half of an answer and then go on with it, by the way in which the
// answer tells its length. Each script is in two parts; the silence is between them.
func pausingAnswers() map[string][2][]peer.Step {
	half := strings.Repeat("x", longBody/2)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(half), half)
	parts := func(first, second string, last peer.Step) [2][]peer.Step {
		return [2][]peer.Step{{peer.Request(), peer.Send(first)}, {peer.Send(second), last}}
	}
	length := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longBody)
	return map[string][2][]peer.Step{
		"with a length":        parts(length+half, half, peer.Silence()),
		"after its first byte": parts(length+"x", half+half[1:], peer.Silence()),
		"before its last byte": parts(length+half+half[1:], "x", peer.Silence()),
		"chunked":              parts("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk, chunk+"0\r\n\r\n", peer.Silence()),
		"within a chunk":       parts("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk+chunk[:1000], chunk[1000:]+"0\r\n\r\n", peer.Silence()),
		"ended by a close":     parts("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+half, half, peer.Close()),
		"HTTP/1.0":             parts("HTTP/1.0 200 OK\r\n\r\n"+half, half, peer.Close()),
	}
}

// Guards against an answer that the agent cuts off by a timer of its own while its endpoint is silent for as long as a working one may be, also after
// the agent has been told to end.
func TestAnswerOutlastsTheSilenceOfItsEndpoint(t *testing.T) {
	for name, script := range pausingAnswers() {
		for _, ends := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, the agent ends %v", name, ends), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					steps := append(append(script[0], peer.Wait(httpmsg.LongestSilence)), script[1]...)
					a := startScriptedAgent(t, steps, serveAll())
					defer a.close()
					client := a.connectAndWrite(requestHead("GET", "/price-basket", 0))
					defer client.Close()
					time.Sleep(150 * time.Millisecond)
					if ends {
						a.stop()
					}
					if status, complete, _ := readAnswer(client); status != http.StatusOK || !complete {
						t.Errorf("status %d, complete %v", status, complete)
					}
				})
			})
		}
	}
}

// Guards against an agent that ends by itself after SIGTERM and takes an answer with it that its endpoint still gives. When the platform kills the
// process is for the platform to say.
func TestFlowingAnswerKeepsTheProcessAfterTheDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pieces, piece = 300, 1000
		script := []peer.Step{peer.Request(), peer.Send(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", pieces*piece))}
		for range pieces {
			script = append(script, peer.Send(strings.Repeat("x", piece)), peer.Wait(100*time.Millisecond))
		}
		a := startScriptedAgent(t, script)
		client := a.connectAndWrite(requestHead("GET", "/price-basket", 0))
		time.Sleep(150 * time.Millisecond)
		a.stop()
		if status, complete, _ := readAnswer(client); status != http.StatusOK || !complete {
			t.Errorf("status %d, complete %v", status, complete)
		}
		client.Close()
		answered := time.Now()
		a.close() // waits until the agent has ended
		if took := time.Since(answered); took > time.Second {
			t.Errorf("the agent ended %v after its last answer", took)
		}
	})
}

// Guards against an upload that is given up while its endpoint takes nothing for as long as a working one may, and whose client still writes.
func TestUploadOutlastsTheSilenceOfItsEndpoint(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const size = 8 << 20 // more than the client can have written ahead of the agent
		a := startScriptedAgent(t, []peer.Step{peer.Wait(httpmsg.LongestSilence), peer.Forever(peer.Request(), peer.Send(peer.OK("fine")))})
		defer a.close()
		client := a.connectAndWrite(requestHead("POST", "/place-order", size))
		defer client.Close()
		go io.WriteString(client, strings.Repeat("x", size))
		if status, complete, _ := readAnswer(client); status != http.StatusOK || !complete {
			t.Errorf("status %d, complete %v", status, complete)
		}
	})
}

// Guards against a request that is ended as late while its client still writes it, because its endpoint takes nothing for a while and the client's
// bytes wait unread.
func TestSlowUploadOutlastsTheSilenceOfItsEndpoint(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				a := startScriptedAgent(t, []peer.Step{peer.Wait(time.Second + httpmsg.LongestSilence), peer.Forever(peer.Request(), peer.Send(peer.OK("fine")))})
				defer a.close()
				client := a.uploadSlowly(190, chunked) // what a link holds is written by half of the time
				defer client.Close()
				if resp, body := readResponse(t, client); resp.StatusCode != http.StatusOK || body != "fine" {
					t.Errorf("status %d, body %q", resp.StatusCode, body)
				}
			})
		})
	}
}

// An endpoint that does not go on after the longest silence must be given up, or its requests would hold connections and memory for ever.
func TestEndpointThatStaysSilentIsGivenUp(t *testing.T) {
	for name, script := range pausingAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				a := startScriptedAgent(t, append(script[0], peer.Silence()), serveAll())
				defer a.close()
				client := a.connectAndWrite(requestHead("GET", "/price-basket", 0))
				defer client.Close()
				began := time.Now()
				if _, complete, _ := readAnswer(client); complete {
					t.Error("the answer looks complete")
				}
				if took := time.Since(began); took > httpmsg.LongestSilence+4*time.Second { // readAnswer waits for a second after the answer
					t.Errorf("given up after %v", took)
				}
			})
		})
	}
}
