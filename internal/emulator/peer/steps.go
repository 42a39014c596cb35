package peer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// errScriptEnd ends a script; Err does not report it.
var errScriptEnd = errors.New("end of script")

// Request reads a complete request. If the connection ends before a request begins, the script ends without an error.
func Request() Step {
	return func(s *Session) error {
		if _, err := s.In.Peek(1); err != nil {
			return errScriptEnd
		}
		r, err := http.ReadRequest(s.In)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return err
		}
		s.peer.mu.Lock()
		defer s.peer.mu.Unlock()
		s.peer.requests = append(s.peer.requests, ReceivedRequest{s.Number, r.Method, r.URL.Path, r.Header, body, time.Now()})
		return nil
	}
}

// Bytes reads len(want) bytes and fails if they differ from want.
func Bytes(want string) Step {
	return func(s *Session) error {
		got := make([]byte, len(want))
		if _, err := io.ReadFull(s.In, got); err != nil {
			return err
		}
		if !bytes.Equal(got, []byte(want)) {
			return fmt.Errorf("read %q, want %q", got, want)
		}
		return nil
	}
}

// Send writes a text in one write.
func Send(text string) Step {
	return func(s *Session) error {
		_, err := io.WriteString(s.Conn, text)
		return err
	}
}

// Drip writes a text byte by byte, with a pause (gap) after each. The script ends without an error if the other side closes the
// connection.
func Drip(text string, gap time.Duration) Step {
	return func(s *Session) error {
		for i := range len(text) {
			if _, err := io.WriteString(s.Conn, text[i:i+1]); err != nil {
				return errScriptEnd
			}
			time.Sleep(gap)
		}
		return nil
	}
}

// Wait waits for a duration.
func Wait(d time.Duration) Step {
	return func(*Session) error {
		time.Sleep(d)
		return nil
	}
}

// Silence discards all input and writes nothing until the other side closes the connection. Then it ends the script.
func Silence() Step {
	return func(s *Session) error {
		io.Copy(io.Discard, s.In)
		return errScriptEnd
	}
}

// Close closes the connection and ends the script.
func Close() Step {
	return func(s *Session) error {
		s.Conn.Close()
		return errScriptEnd
	}
}

// Reset resets the connection and ends the script.
func Reset() Step {
	return func(s *Session) error {
		switch c := s.Conn.(type) {
		case interface{ Reset() }:
			c.Reset()
		case *net.TCPConn:
			c.SetLinger(0)
			c.Close()
		default:
			return fmt.Errorf("cannot reset a connection of type %T", c)
		}
		return errScriptEnd
	}
}

// Forever repeats steps until one ends the script.
func Forever(steps ...Step) Step {
	return func(s *Session) error {
		for {
			for _, step := range steps {
				if err := step(s); err != nil {
					return err
				}
			}
		}
	}
}

// OK returns the text of a 200 response with a body.
func OK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
