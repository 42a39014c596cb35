package agent_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"ryeweir/internal/config/platform"
	"ryeweir/internal/emulator/peer"
)

const (
	slowAnswerBytes = 180 << 10              // above httpmsg.MaxBufferedBytes, so that the first bytes are timed and not the last one
	longestHold     = 2 * time.Second        // from when an answer that is held back is lost
	requestTimeout  = 800 * time.Millisecond // of requestHead
)

// answerFraming is a way in which an answer tells where it ends.
type answerFraming struct {
	head  string
	frame func(piece string, last bool) string // what is written for a piece of the body
}

func plainPiece(piece string, _ bool) string { return piece }

// slowAnswerFramings returns the ways in which a long answer can tell where it ends.
func slowAnswerFramings() map[string]answerFraming {
	return map[string]answerFraming{
		"no length":         {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", plainPiece},
		"HTTP/1.0 endpoint": {"HTTP/1.0 200 OK\r\n\r\n", plainPiece},
		"with a length":     {fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", slowAnswerBytes), plainPiece},
		"one long chunk": {fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", slowAnswerBytes),
			func(piece string, last bool) string {
				if last {
					return piece + "\r\n0\r\n\r\n"
				}
				return piece
			}},
		"chunks": {"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
			func(piece string, last bool) string {
				framed := fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
				if last {
					framed += "0\r\n\r\n"
				}
				return framed
			}},
	}
}

// answerPace is how an endpoint writes the body of an answer.
type answerPace struct {
	headAfter  time.Duration // when the head is written, from the end of the request on
	firstAfter time.Duration // when the first piece is written, from the head on
	pieceBytes int
	pause      time.Duration // between two pieces
}

// slowAnswer returns the steps that read a request and write a long answer.
func slowAnswer(framing answerFraming, pace answerPace) []peer.Step {
	steps := []peer.Step{peer.Request(), peer.Wait(pace.headAfter), peer.Send(framing.head), peer.Wait(pace.firstAfter)}
	rest := strings.Repeat("x", slowAnswerBytes)
	for len(rest) > 0 {
		piece := rest[:min(len(rest), pace.pieceBytes)]
		rest = rest[len(piece):]
		steps = append(steps, peer.Send(framing.frame(piece, rest == "")))
		if rest != "" {
			steps = append(steps, peer.Wait(pace.pause))
		}
	}
	return append(steps, peer.Close())
}

// givenBy returns how many bytes of the body have been written some time after the end of the request.
func (p answerPace) givenBy(elapsed time.Duration) int {
	sinceFirst := elapsed - p.headAfter - p.firstAfter
	if sinceFirst < 0 {
		return 0
	}
	return min(slowAnswerBytes, (1+int(sinceFirst/p.pause))*p.pieceBytes)
}

// readSlowAnswer reads an answer. It fails the test unless all of it arrives, its head within the given time, and no part more than longestHold after the
// endpoint has given it.
func readSlowAnswer(t *testing.T, client net.Conn, pace answerPace, requestEnd time.Time, headWithin time.Duration) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if elapsed := time.Since(requestEnd); response.StatusCode != http.StatusOK || elapsed > headWithin {
		t.Fatalf("status %d after %v", response.StatusCode, elapsed)
	}
	buffer := make([]byte, 32<<10)
	for received := 0; ; {
		n, err := response.Body.Read(buffer)
		if held := pace.givenBy(time.Since(requestEnd)-longestHold) - received; held > 0 {
			t.Fatalf("%d bytes were held back for %v; %d had been received", held, longestHold, received)
		}
		received += n
		if err == io.EOF && received == slowAnswerBytes {
			return
		}
		if err != nil {
			t.Fatalf("cut off after %d bytes and %v: %v", received, time.Since(requestEnd), err)
		}
	}
}

// slowAnswerPaces returns the ways in which an endpoint writes a long answer slowly.
func slowAnswerPaces() map[string]answerPace {
	return map[string]answerPace{
		"steady":              {6 * time.Millisecond, 0, 5 << 10, 50 * time.Millisecond},
		"slower":              {6 * time.Millisecond, 0, 1 << 10, 50 * time.Millisecond},
		"in lumps":            {6 * time.Millisecond, 0, 50 << 10, 1100 * time.Millisecond},
		"its head comes late": {requestTimeout - 25*time.Millisecond, 0, 5 << 10, 50 * time.Millisecond},
		"its body comes late": {6 * time.Millisecond, time.Second, 5 << 10, 50 * time.Millisecond},
		"in small pieces":     {6 * time.Millisecond, 100 * time.Millisecond, 100, time.Millisecond},
	}
}

// slowAnswerCircumstances returns what may happen beside a slow answer: how the agent is configured, what its endpoint does with the request at first,
// and when the agent is told to end.
func slowAnswerCircumstances() map[string]struct {
	configure func(*platform.Config)
	first     []peer.Step
	stopAfter time.Duration // from the request on; 0 for never
} {
	rejection := []peer.Step{peer.Request(), peer.Send("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"), peer.Close()}
	unchanged := func(*platform.Config) {}
	return map[string]struct {
		configure func(*platform.Config)
		first     []peer.Step
		stopAfter time.Duration
	}{
		"alone":                     {unchanged, nil, 0},
		"with a spent body budget":  {func(c *platform.Config) { c.MemoryMB = 1 }, nil, 0},
		"of a retry":                {unchanged, rejection, 0},
		"while the agent is to end": {unchanged, nil, 50 * time.Millisecond},
	}
}

// Guards against a long answer that is cut off at its client's deadline, or held back, while its endpoint is still writing it: the limit on the wait for
// an answer was applied to one under way, while a buffer was not full, a timer had not fired or a read had not returned.
func TestSlowAnswerUnderWayIsPassedOn(t *testing.T) {
	requests := map[string]string{
		"GET":              requestHead("GET", "/price-basket", 0),
		"POST":             requestHead("POST", "/place-order", 0),
		"POST by HTTP/1.0": strings.Replace(requestHead("POST", "/place-order", 0), "HTTP/1.1", "HTTP/1.0", 1),
	}
	for circumstancesName, circumstances := range slowAnswerCircumstances() {
		for framingName, framing := range slowAnswerFramings() {
			for paceName, pace := range slowAnswerPaces() {
				for requestName, request := range requests {
					t.Run(fmt.Sprintf("%s, %s, %s, %s", circumstancesName, framingName, paceName, requestName), func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) {
							scripts := [][]peer.Step{slowAnswer(framing, pace)}
							if circumstances.first != nil {
								scripts = [][]peer.Step{circumstances.first, scripts[0]}
							}
							a := startScriptedAgentWith(t, circumstances.configure, 1, scripts...)
							defer a.close()
							client := a.connectAndWrite(request)
							defer client.Close()
							requestEnd := time.Now()
							if circumstances.stopAfter > 0 {
								time.AfterFunc(circumstances.stopAfter, a.stop)
							}
							readSlowAnswer(t, client, pace, requestEnd, requestTimeout)
						})
					})
				}
			}
		}
	}
}

// Guards against an answer that is cut off because it begins before its upload ends: nobody read the rest of the upload while the answer was written.
func TestAnswerThatBeginsBeforeItsUploadEndsIsPassedOn(t *testing.T) {
	const uploadBytes, readFirst, rate = 1 << 20, 100 << 10, 64_000
	for framingName, framing := range slowAnswerFramings() {
		for paceName, pace := range slowAnswerPaces() {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, upload in chunks %v", framingName, paceName, chunked), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						steps := slowAnswer(framing, pace)
						steps[0] = func(s *peer.Session) error {
							_, err := io.CopyN(io.Discard, s.In, readFirst)
							return err
						}
						steps[len(steps)-1] = func(s *peer.Session) error { // a close over unread bytes would reset the connection
							return s.Conn.(interface{ CloseWrite() error }).CloseWrite()
						}
						steps = append(steps, peer.Silence())
						a := startScriptedAgent(t, steps)
						defer a.close()
						head, body := longRequest(uploadBytes, chunked)
						client := a.connectAndWrite(head + body[:readFirst+10<<10])
						defer client.Close()
						answerBegins := time.Now()
						go func() {
							for rest := body[readFirst+10<<10:]; len(rest) > 0; rest = rest[min(len(rest), rate/10):] {
								time.Sleep(100 * time.Millisecond)
								if _, err := io.WriteString(client, rest[:min(len(rest), rate/10)]); err != nil {
									return
								}
							}
						}()
						readSlowAnswer(t, client, pace, answerBegins, longestHold)
					})
				})
			}
		}
	}
}

// Guards against an answer that is cut off because its client writes all of its request before it reads: while the answer was written, nobody read the
// rest of the upload, so that neither side could go on.
func TestClientThatWritesAllBeforeItReadsGetsAnEarlyAnswer(t *testing.T) {
	const uploadBytes, answerBytes = 4 << 20, 1 << 20 // each more than a connection holds
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				readFirst := func(s *peer.Session) error {
					_, err := io.CopyN(io.Discard, s.In, 100<<10)
					return err
				}
				a := startScriptedAgent(t, []peer.Step{readFirst, peer.Send(peer.OK(strings.Repeat("x", answerBytes))), peer.Silence()})
				defer a.close()
				head, body := longRequest(uploadBytes, chunked)
				client := a.connectAndWrite(head)
				defer client.Close()
				if _, err := io.WriteString(client, body); err != nil {
					t.Errorf("the request was not read: %v", err)
				}
				if status, complete, _ := readAnswer(client); status != http.StatusOK || !complete {
					t.Errorf("status %d, complete %v", status, complete)
				}
			})
		})
	}
}

// Whatever the order in which the head, the pieces and the end of an answer come around the deadline, its client must get either the answer as its
// endpoint gives it, or an error in its time. The answer must be passed on if its head began before the deadline and was complete a moment later.
func TestAnswerAroundTheDeadlineIsPassedOnOrFailedInTime(t *testing.T) {
	const deadline = requestTimeout - 20*time.Millisecond // the agent's margin
	framings := slowAnswerFramings()
	names := slices.Sorted(maps.Keys(framings))
	rapid.Check(t, func(rt *rapid.T) {
		framing := framings[rapid.SampledFrom(names).Draw(rt, "framing")]
		aroundDeadline := rapid.SampledFrom([]time.Duration{-100 * time.Millisecond, -5 * time.Millisecond, -time.Microsecond, time.Microsecond, 5 * time.Millisecond})
		pace := answerPace{
			headAfter:  deadline + aroundDeadline.Draw(rt, "head, from the deadline on"),
			firstAfter: rapid.SampledFrom([]time.Duration{0, 3 * time.Millisecond, 90 * time.Millisecond, 400 * time.Millisecond}).Draw(rt, "body, from the head on"),
			pieceBytes: rapid.SampledFrom([]int{4 << 10, 30 << 10, 70 << 10, slowAnswerBytes}).Draw(rt, "bytes of a piece"),
			pause:      rapid.SampledFrom([]time.Duration{time.Millisecond, 60 * time.Millisecond, 1100 * time.Millisecond}).Draw(rt, "pause"),
		}
		steps := slowAnswer(framing, pace)
		headBegins := pace.headAfter
		if rapid.Bool().Draw(rt, "the head comes in two pieces") {
			headBegins -= time.Millisecond
			cut := len(framing.head) - 3
			steps[1], steps[2] = peer.Wait(headBegins), func(s *peer.Session) error {
				io.WriteString(s.Conn, framing.head[:cut])
				time.Sleep(time.Millisecond)
				_, err := io.WriteString(s.Conn, framing.head[cut:])
				return err
			}
		}
		stopAfter := rapid.SampledFrom([]time.Duration{0, 0, 10 * time.Millisecond, deadline}).Draw(rt, "the agent is to end after")
		synctest.Test(t, func(t *testing.T) {
			a := startScriptedAgent(t, steps)
			client := a.connectAndWrite(requestHead("POST", "/place-order", 0))
			requestEnd := time.Now()
			if stopAfter > 0 {
				time.AfterFunc(stopAfter, a.stop)
			}
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				rt.Fatalf("no answer: %v", err)
			}
			answeredAfter := time.Since(requestEnd)
			body, err := io.ReadAll(response.Body)
			client.Close()
			a.close()
			passedOn := response.StatusCode == http.StatusOK
			switch {
			case answeredAfter > requestTimeout:
				rt.Errorf("status %d after %v", response.StatusCode, answeredAfter)
			case passedOn && (err != nil || len(body) != slowAnswerBytes):
				rt.Errorf("cut off after %d bytes: %v", len(body), err)
			case !passedOn && headBegins < deadline:
				rt.Errorf("status %d, although the head began %v before the deadline", response.StatusCode, deadline-headBegins)
			}
		})
	})
}

// The same for an answer to a request that its client writes slowly, whose time begins with its last byte.
func TestSlowAnswerToASlowUploadIsPassedOn(t *testing.T) {
	const pieces, pieceTime = 40, 62 * time.Millisecond // of uploadSlowly; 160 KiB
	for framingName, framing := range slowAnswerFramings() {
		for paceName, pace := range slowAnswerPaces() {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, upload in chunks %v", framingName, paceName, chunked), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						a := startScriptedAgent(t, slowAnswer(framing, pace))
						defer a.close()
						lastByte := time.Now().Add((pieces - 1) * pieceTime)
						if chunked {
							lastByte = lastByte.Add(pieceTime) // the last chunk
						}
						client := a.uploadSlowly(pieces, chunked).(net.Conn)
						defer client.Close()
						readSlowAnswer(t, client, pace, lastByte, requestTimeout)
					})
				})
			}
		}
	}
}
