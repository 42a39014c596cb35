package framing

import (
	"errors"
	"net"
	"strings"
	"testing"

	"ryeweir/internal/bodybuffer"
)

// A client sends a message with a length and a transfer encoding, so that two parsers split it differently. The scanner must
// detect this for pieces of any size, and must not report any other message.
func TestAmbiguousMessagesAreDetected(t *testing.T) {
	long := "POST /" + strings.Repeat("x", 500)
	for name, c := range map[string]struct {
		text string
		want bool
	}{
		"length":                 {"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nTrans", false},
		"chunks":                 {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		"both":                   {"POST / HTTP/1.1\r\nContent-Length: 5\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		"both, in reverse order": {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", true},
		"in other case":          {"POST / HTTP/1.1\ncontent-LENGTH:5\ntransfer-ENCODING:x\n\n", true},
		"in HTTP/1.0":            {long + " HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"a long line":            {long + " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"in the second":          {"GET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"after a body":           {"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcPOST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: x\r\n\r\n", true},
		"in two heads":           {"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcPOST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"in a body":              {"POST / HTTP/1.1\r\nContent-Length: 61\r\n\r\nP / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"in a value":             {"GET / HTTP/1.1\r\nX: Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"longer names":           {"GET / HTTP/1.1\r\nContent-Length-X: 5\r\nX-Transfer-Encoding: chunked\r\n\r\n", false},
		"after chunks":           {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nB\r\n0\r\n\r\nGET / \r\n0\r\nT: v\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: x\r\n\r\n", true},
		"in a chunk":             {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3A\r\nP / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: x\r\n\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n", false},
		"after a long value":     {"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 5000) + "\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", true},
	} {
		for size := 1; size <= len(c.text); size = size*2 + 1 {
			var s scanner
			for rest := c.text; rest != ""; {
				n := min(size, len(rest))
				s.scan([]byte(rest[:n]))
				rest = rest[n:]
			}
			if s.ambiguous != c.want {
				t.Errorf("%s, in pieces of %d bytes: ambiguous is %v", name, size, s.ambiguous)
			}
		}
	}
}

// The result does not depend on how the bytes are split.
func FuzzScan(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nabcde"), 3)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		var whole, parts scanner
		whole.scan(text)
		cut = max(0, min(cut, len(text)))
		parts.scan(text[:cut])
		parts.scan(text[cut:])
		if whole.ambiguous != parts.ambiguous || whole.bodyRemaining != parts.bodyRemaining {
			t.Errorf("split at %d: %+v, unsplit %+v", cut, parts, whole)
		}
	})
}

// The scanner detects a message whose end can't be determined, also in a chunked body. No message after it may be read.
func TestDesynchronizationIsDetected(t *testing.T) {
	const start = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for text, want := range map[string]bool{
		start + "3\r\nabc\r\n0\r\n\r\n": false,
		start + "3\r\nabcd\r\n":         true,
		start + "xyz\r\n":               true,
		start + "\r\n":                  true,
		start + "-1\r\n":                true,
		start + "FFFFFFFFFFFFFFF\r\n":   true,
		start + "3" + strings.Repeat(";", maxLineBytes) + "\r\n":                true,
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":           true,
		"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n":                          true,
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n": false,
	} {
		var s scanner
		s.scan([]byte(text))
		if s.desynchronized != want {
			t.Errorf("%q: desynchronized is %v", text, s.desynchronized)
		}
	}
}

// Failure: a head of 1,600 short fields cost its parser 200 KB. What is readable of a message must end with the field over the limit, for
// pieces of any size, also in trailers, in a second message and behind a length that can't be parsed; bodies are not counted.
func TestFieldsOverTheLimitAreNotReadable(t *testing.T) {
	fields := strings.Repeat("a: b\r\n", maxFields+50)
	for name, c := range map[string]struct {
		text    string
		refused bool
	}{
		"in a head":               {"GET / HTTP/1.1\r\n" + fields, true},
		"in a second head":        {"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nxGET / HTTP/1.1\r\n" + fields, true},
		"in trailers":             {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + fields, true},
		"behind a malformed line": {"GET / HTTP/1.1\r\nContent-Length: x\r\n" + fields, true},
		"in a body":               {"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + fields, false},
		"few":                     {"GET / HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", maxFields/2) + "\r\n", false},
	} {
		for size := 1; size <= len(c.text); size = size*2 + 1 {
			var s scanner
			readable := 0
			for rest := c.text; rest != "" && !s.tooManyFields; {
				n := min(size, len(rest))
				readable += s.scan([]byte(rest[:n]))
				rest = rest[n:]
			}
			if s.tooManyFields != c.refused || !c.refused && readable != len(c.text) {
				t.Errorf("%s, in pieces of %d bytes: too many is %v, %d of %d bytes readable", name, size, s.tooManyFields, readable, len(c.text))
			}
			if c.refused && strings.Count(c.text[:readable], "\n") > maxFields+5 {
				t.Errorf("%s, in pieces of %d bytes: %d lines readable", name, size, strings.Count(c.text[:readable], "\n"))
			}
		}
	}
}

// A head over the ordinary size must take its cost from the budget, give it back with the next message or the connection, and be refused if
// the budget has no room.
func TestLongHeadsTakeTheirCostFromTheBudget(t *testing.T) {
	const budgetBytes = 100 << 10
	long := "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 8000) + "\r\n"
	budget := bodybuffer.NewBudget(budgetBytes)
	free := func() int {
		granted := budget.Reserve(2 * budgetBytes)
		budget.Release(granted)
		return granted
	}
	read := func(c *Conn, text string) error {
		reader := strings.NewReader(text)
		c.Conn = readerConn{c.Conn, reader}
		for reader.Len() > 0 {
			if _, err := c.Read(make([]byte, 4096)); err != nil {
				return err
			}
		}
		return nil
	}
	server, client := net.Pipe()
	defer client.Close()
	first := &Conn{Conn: server, budget: budget}
	if err := read(first, long); err != nil || free() >= budgetBytes {
		t.Errorf("%d bytes free while a long head is held, %v", free(), err)
	}
	if err := read(first, "\r\nGET / HTTP/1.1\r\n"); err != nil || free() != budgetBytes {
		t.Errorf("%d bytes free after the next message has begun, %v", free(), err)
	}
	read(first, "\r\n"+long)
	first.Close()
	if free() != budgetBytes {
		t.Errorf("%d bytes free after the connection was closed", free())
	}
	taken := budget.Reserve(budgetBytes - 1000)
	defer budget.Release(taken)
	if err := read(&Conn{Conn: server, budget: budget}, long+long); !errors.Is(err, ErrHeadRefused) {
		t.Errorf("a long head without room in the budget: %v", err)
	}
}

// readerConn is a connection that reads from a reader.
type readerConn struct {
	net.Conn
	reader *strings.Reader
}

func (c readerConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// What follows a message with a length must be told from a request, in whatever pieces it comes: it is the rest of a body whose head tells too little.
// Requests, their beginnings and empty lines are none.
func TestRestOfABodyIsToldFromARequest(t *testing.T) {
	for text, want := range map[string]bool{
		"": false, "\r\n": false, "G": false, "POST": false, "OPTIONS /": false, "\r\nGET / HTTP/1.1\r\n\r\n": false, "GET / HTTP/1.1\r\n\r\nxxx": false,
		"x": true, "get / HTTP/1.1\r\n": true, "GETS /": true, "\r\nx": true, "{}": true, "POSTx": true, "\x00": true,
	} {
		for _, message := range []string{"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody", "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"} {
			for size := 1; size <= len(message)+len(text); size++ {
				var s scanner
				for rest := message + text; len(rest) > 0; rest = rest[min(size, len(rest)):] {
					s.scan([]byte(rest[:min(size, len(rest))]))
				}
				if s.bodyContinues != want {
					t.Fatalf("%q in pieces of %d: %v", text, size, s.bodyContinues)
				}
			}
		}
	}
}
