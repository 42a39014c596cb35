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
// When it can't parse the input, it sets desynchronized and stops at the end of the head. From then on no message may be read from the
// connection; the server ensures this by closing it.
//
// It also measures each head, and stops in one that has more than maxFields lines.
type scanner struct {
	state          state
	ambiguous      bool   // at least one message read so far has a transfer encoding and also a length, or a version other than HTTP/1.1
	desynchronized bool   // the message boundaries are lost
	bodyRemaining  int64  // bytes of the current body or chunk still to be skipped
	line           []byte // the first bytes of the current line, or the last bytes of a request line
	behindLength   bool   // the message before the one that begins here had a length
	start          messageStart
	bodyContinues  bool // what follows a message with a length begins no request

	// State of the head that is being read.
	headBytes           int
	fields              int  // header lines, also those of trailers
	tooManyFields       bool // more than maxFields; nothing behind them is read
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
	lost                     // the message boundaries are lost; nothing is followed any more
)

const (
	// maxLineBytes is how much of a line is stored: enough for the names and values of Content-Length and
	// Transfer-Encoding, for the size of a chunk, and for the HTTP version at the end of a request line.
	maxLineBytes = 64
	// maxChunkBytes is the largest size of a chunk that is accepted, 1 TiB. It is far above the agent's limit on a body,
	// httpmsg.MaxBodyBytes, so no allowed body has a larger chunk.
	maxChunkBytes = 1 << 40
	// maxFields is the most header lines of a message. Each field costs a parser far more memory than its bytes.
	maxFields = 100
)

// scan processes the next bytes of the connection. It returns how many of them a parser may read: all, unless a head has too many fields.
func (s *scanner) scan(p []byte) (readable int) {
	rest := p
	for len(rest) > 0 && s.state != lost && !s.tooManyFields {
		if s.bodyRemaining > 0 {
			n := min(s.bodyRemaining, int64(len(rest)))
			s.bodyRemaining -= n
			rest = rest[n:]
			continue
		}
		if s.behindLength && s.state == inHead && (!s.requestLineDone || len(s.start.bytes) == 0) {
			s.start.add(rest)
			s.bodyContinues = s.bodyContinues || s.start.beginsNoRequest()
		}
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			s.appendToLine(rest)
			return len(p)
		}
		s.appendToLine(rest[:end])
		rest = rest[end+1:]
		s.endLine()
	}
	if s.tooManyFields {
		return len(p) - len(rest)
	}
	return len(p)
}

// appendToLine adds a part of a line. It keeps the first bytes of the line, but the last bytes of a request line, because these
// contain the HTTP version.
func (s *scanner) appendToLine(part []byte) {
	if s.state == inHead || s.state == inTrailers {
		s.headBytes += len(part)
	}
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
		return
	case bytes.IndexByte([]byte("CcTt"), line[0]) >= 0: // the relevant headers begin with C or T
		s.parseHeader(line)
	}
	s.countField()
}

// countField counts a line of a head or of trailers.
func (s *scanner) countField() {
	if s.state == inHead || s.state == inTrailers {
		s.fields++
		s.tooManyFields = s.fields > maxFields
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
	next := scanner{ambiguous: s.ambiguous, desynchronized: s.desynchronized, bodyRemaining: s.contentLength, line: s.line,
		behindLength: s.hasLength && !s.hasTransferEncoding}
	if s.hasTransferEncoding {
		next.desynchronized = s.desynchronized || s.ambiguous || !s.chunked
		next.bodyRemaining = 0
		next.state = inChunkSize
		next.requestLineDone = true // makes appendToLine keep the first bytes of the lines in a chunked body
		next.headBytes, next.fields = s.headBytes, s.fields
	}
	if next.desynchronized {
		next.state = lost
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
			*s = scanner{ambiguous: s.ambiguous, line: s.line}
		}
	}
	if s.desynchronized {
		s.state = lost
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

// What a head costs once it is parsed. The fixed memory of a connection covers a head of ordinary size.
const (
	ordinaryHeadBytes = 2 << 10
	ordinaryFields    = 32
	bytesPerHeadByte  = 2   // the text as it was read, and as it is forwarded
	bytesPerField     = 160 // its place in a map, a slice and its strings
)

// headCost returns the memory that the current head takes beyond one of ordinary size, in bytes.
func (s *scanner) headCost() int {
	return max(0, s.headBytes-ordinaryHeadBytes)*bytesPerHeadByte + max(0, s.fields-ordinaryFields)*bytesPerField
}
