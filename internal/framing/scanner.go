package framing

import (
	"bytes"
	"strconv"
)

// scanner follows the messages on a connection from one head to the next. It skips bodies that have a length or are chunked (RFC
// 9112, section 7.1). Its input is the bytes of the connection, in pieces of any size. It stores at most maxLineBytes of each
// line.
//
// It detects messages that have both a length and a transfer encoding. If one parser uses the length and another the transfer
// encoding, what one takes for the body can be, for the other, a request that nobody validated.
//
// When it can't parse the input, it sets desynchronized and stops. From then on no message may be read from the connection; the
// server ensures this by closing it.
type scanner struct {
	state          state
	ambiguous      bool   // at least one message read so far has a transfer encoding and also a length, or a version other than HTTP/1.1
	desynchronized bool   // the message boundaries are lost
	bodyRemaining  int64  // bytes of the current body or chunk still to be skipped
	line           []byte // the first bytes of the current line, or the last bytes of a request line

	// State of the head that is being read.
	requestLineDone     bool
	notHTTP11           bool // the request line does not end in HTTP/1.1, so a parser may ignore a transfer encoding
	hasLength           bool
	contentLength       int64
	hasTransferEncoding bool
	chunked             bool // the transfer encoding is chunked alone
}

// state is the part of a message that the scanner is in.
type state int

const (
	inHead      state = iota // in the request line, the header lines or the empty line after them
	inChunkSize              // in the line before a chunk, which gives its size
	inChunkEnd               // in the line break after a chunk
	inTrailers               // in the lines after the last chunk, up to and including the empty line
)

const (
	// maxLineBytes is how much of a line is stored: enough for the names and values of Content-Length and
	// Transfer-Encoding, for the size of a chunk, and for the HTTP version at the end of a request line.
	maxLineBytes = 64
	// maxChunkBytes is the largest size of a chunk that is accepted, 1 TiB. It is far above the agent's limit on a body,
	// httpmsg.MaxBodyBytes, so no allowed body has a larger chunk.
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

// appendToLine adds a part of a line. It keeps the first bytes of the line, but the last bytes of a request line, because these
// contain the HTTP version.
func (s *scanner) appendToLine(part []byte) {
	if s.requestLineDone {
		s.line = append(s.line, part[:min(len(part), maxLineBytes-len(s.line))]...)
		return
	}
	s.line = append(s.line, part[max(0, len(part)-maxLineBytes):]...)
	s.line = append(s.line[:0], s.line[max(0, len(s.line)-maxLineBytes):]...)
}

// endLine processes the line that has just ended, according to the state, and clears it.
func (s *scanner) endLine() {
	line := bytes.TrimSuffix(s.line, []byte("\r"))
	s.line = s.line[:0]
	switch {
	case s.state != inHead:
		s.parseChunkLine(line)
	case !s.requestLineDone:
		s.requestLineDone = true
		s.notHTTP11 = !bytes.HasSuffix(line, []byte("HTTP/1.1"))
	case len(line) == 0:
		s.endHead()
	case bytes.IndexByte([]byte("CcTt"), line[0]) >= 0: // the relevant headers begin with C or T
		s.parseHeader(line)
	}
}

// parseHeader parses a header line.
func (s *scanner) parseHeader(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseInt(string(value), 10, 64)
		// If the header is repeated, the last length counts here. That is safe: net/http rejects a request whose lengths differ.
		s.hasLength, s.contentLength = true, length
		if err != nil || length < 0 {
			s.desynchronized = true // net/http rejects the request and closes the connection
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.chunked = !s.hasTransferEncoding && bytes.EqualFold(value, []byte("chunked"))
		s.hasTransferEncoding = true
	}
	if s.hasTransferEncoding && (s.hasLength || s.notHTTP11) {
		s.ambiguous = true
	}
}

// endHead continues with the body, or with the next head if there is no body.
func (s *scanner) endHead() {
	next := scanner{ambiguous: s.ambiguous, desynchronized: s.desynchronized, bodyRemaining: s.contentLength, line: s.line}
	if s.hasTransferEncoding {
		next.desynchronized = s.desynchronized || s.ambiguous || !s.chunked
		next.bodyRemaining = 0
		next.state = inChunkSize
		next.requestLineDone = true // makes appendToLine keep the first bytes of the lines in a chunked body
	}
	*s = next
}

// parseChunkLine parses a line of a chunked body.
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

// parseChunkSize parses the line that gives the size of a chunk. A line that was truncated to maxLineBytes is not trusted.
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
