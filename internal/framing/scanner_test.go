package framing

import (
	"strings"
	"testing"
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
