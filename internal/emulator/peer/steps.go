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

// errScriptEnd ends a script without an error.
var errScriptEnd = errors.New("the script ends")

// Request reads a request to its end. A connection that ends before one begins ends the script without an error.
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

// Bytes reads as many bytes as want has, and fails where they differ.
func Bytes(want string) Step {
	return func(s *Session) error {
		got := make([]byte, len(want))
		if _, err := io.ReadFull(s.In, got); err != nil {
			return err
		}
		if !bytes.Equal(got, []byte(want)) {
			return fmt.Errorf("read %q, not %q", got, want)
		}
		return nil
	}
}

// Send writes a text at once.
func Send(text string) Step {
	return func(s *Session) error {
		_, err := io.WriteString(s.Conn, text)
		return err
	}
}

// Drip writes a text byte by byte with a gap between them. It ends the script when the other side closes.
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

// Wait does nothing for a while.
func Wait(d time.Duration) Step {
	return func(*Session) error {
		time.Sleep(d)
		return nil
	}
}

// Silence reads and writes nothing until the other side closes.
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
			return fmt.Errorf("a %T can't be reset", c)
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

// OK returns the text of a 200 with a body.
func OK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
