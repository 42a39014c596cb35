package framing

import (
	"bytes"
	"strconv"
)

// scanner follows the messages of a connection, from head to head, past bodies with a length or in chunks (RFC 9112, section 7.1).
//
// Inputs: the bytes of the connection, in pieces of any size. Of each line it stores only maxLineBytes.
// Guards against: a message that has a length and a transfer encoding. One reader goes by the one, another by the other, and what
// the first takes for the body the second takes for a request that nobody checked.
//
// It stops, desynchronized, at what it can't read. After that no message may be read from the connection; the server sees to that
// by closing it.
type scanner struct {
	state          state
	ambiguous      bool // a message so far could be read in two ways
	desynchronized bool
	bodyRemaining  int64  // bytes of a body or chunk that are still to be skipped
	line           []byte // the beginning of the present line; of a request line the end

	// The head that is being read.
	requestLineDone     bool
	http10              bool
	hasLength           bool
	contentLength       int64
	hasTransferEncoding bool
	chunked             bool // the transfer encoding is chunked and nothing else
}

// state is where in a message the scanner is.
type state int

const (
	inHead      state = iota
	inChunkSize       // in the line before a chunk
	inChunkEnd        // in the end of the line after it
	inTrailers
)

const (
	// maxLineBytes is stored of a line: enough for the names and the numbers that matter.
	maxLineBytes = 64
	// maxChunkBytes is far more than any body may have.
	maxChunkBytes = 1 << 40
)

// scan processes the next bytes of the connection.
func (s *scanner) scan(p []byte) {
	for len(p) > 0 && !s.desynchronized {
		if s.bodyRemaining > 0 {
			n := min(s.bodyRemaining, int64(len(p)))
			s.bodyRemaining -= n
			p = p[n:]
			continue
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.appendToLine(p)
			return
		}
		s.appendToLine(p[:end])
		p = p[end+1:]
		s.endLine()
	}
}

// appendToLine adds a part of a line. It stores the beginning of the line, but of a request line the end, which names the version.
func (s *scanner) appendToLine(part []byte) {
	if s.requestLineDone {
		s.line = append(s.line, part[:min(len(part), maxLineBytes-len(s.line))]...)
		return
	}
	s.line = append(s.line, part[max(0, len(part)-maxLineBytes):]...)
	s.line = append(s.line[:0], s.line[max(0, len(s.line)-maxLineBytes):]...)
}

func (s *scanner) endLine() {
	line := bytes.TrimSuffix(s.line, []byte("\r"))
	s.line = s.line[:0]
	switch {
	case s.state != inHead:
		s.parseChunkLine(line)
	case !s.requestLineDone:
		s.requestLineDone = true
		s.http10 = !bytes.HasSuffix(line, []byte("HTTP/1.1"))
	case len(line) == 0:
		s.endHead()
	case bytes.IndexByte([]byte("CcTt"), line[0]) >= 0: // the headers that matter begin so
		s.parseHeader(line)
	}
}

// parseHeader processes a header line.
func (s *scanner) parseHeader(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseInt(string(value), 10, 64)
		s.hasLength, s.contentLength = true, length
		if err != nil || length < 0 {
			s.desynchronized = true // net/http rejects the request, and closes
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.chunked = !s.hasTransferEncoding && bytes.EqualFold(value, []byte("chunked"))
		s.hasTransferEncoding = true
	}
	if s.hasTransferEncoding && (s.hasLength || s.http10) {
		s.ambiguous = true
	}
}

// endHead goes on to the body, or to the next head when there is none.
func (s *scanner) endHead() {
	next := scanner{ambiguous: s.ambiguous, desynchronized: s.desynchronized, bodyRemaining: s.contentLength, line: s.line}
	if s.hasTransferEncoding {
		next.desynchronized = s.desynchronized || s.ambiguous || !s.chunked
		next.bodyRemaining = 0
		next.state = inChunkSize
		next.requestLineDone = true // of all lines of chunks the beginning is stored
	}
	*s = next
}

// parseChunkLine processes a line of a body in chunks.
func (s *scanner) parseChunkLine(line []byte) {
	switch s.state {
	case inChunkSize:
		s.parseChunkSize(line)
	case inChunkEnd:
		s.state = inChunkSize
		s.desynchronized = len(line) > 0
	case inTrailers:
		if len(line) == 0 {
			s.state, s.requestLineDone = inHead, false
		}
	}
}

// parseChunkSize processes the line that gives a chunk's size. A line that was cut can't be trusted.
func (s *scanner) parseChunkSize(line []byte) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 63)
	switch {
	case err != nil || size > maxChunkBytes || len(line) >= maxLineBytes:
		s.desynchronized = true
	case size == 0:
		s.state = inTrailers
	default:
		s.state, s.bodyRemaining = inChunkEnd, int64(size)
	}
}
