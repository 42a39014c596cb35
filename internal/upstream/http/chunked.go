package http

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
)

// maxChunkOverhead is how many bytes the heads of chunks may take beyond chunkOverhead for each chunk and twice the length of its data.
const (
	maxChunkOverhead = 16 << 10
	chunkOverhead    = 16
)

// errMalformedChunk means that the bytes between two chunks are not their framing.
var errMalformedChunk = errors.New("malformed chunk")

// returnChunksEarly makes reads of a chunked body return what has arrived.
func (s *connState) returnChunksEarly(response *http.Response) {
	if len(response.TransferEncoding) > 0 {
		response.Body = io.NopCloser(&chunkedBody{reader: s.reader})
	}
}

// chunkedBody reads a body in chunks and discards its trailer. It accepts the same bodies as net/http, but for malformed trailers.
//
// Failure: net/http's reader waits in the middle of a chunk until the caller's buffer is full. What an endpoint has given of a long chunk is then held
// back until the rest of the buffer has arrived. A read of a chunkedBody waits for its first byte only.
type chunkedBody struct {
	reader    *bufio.Reader
	begun     bool   // the first chunk has been read, so that each following head is behind a line end
	remaining uint64 // bytes of the current chunk
	overhead  int64  // bytes of heads beyond what is allowed for their chunks
	err       error  // of the first read that failed; io.EOF behind the trailer
}

// Read implements io.Reader.
func (c *chunkedBody) Read(p []byte) (int, error) {
	if c.err == nil && c.remaining == 0 {
		c.err = c.nextChunk()
	}
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	n, err := c.reader.Read(p[:min(uint64(len(p)), c.remaining)])
	c.remaining -= uint64(n)
	c.err = unexpectedEOF(err)
	return n, c.err
}

// nextChunk reads the end of a chunk and the head of the next one. Behind the last chunk it reads the trailer and returns io.EOF.
func (c *chunkedBody) nextChunk() error {
	if c.begun {
		if err := c.readChunkEnd(); err != nil {
			return err
		}
	}
	c.begun = true
	line, err := c.readLine()
	if err != nil {
		return err
	}
	if c.remaining, err = parseChunkLength(line); err != nil {
		return err
	}
	c.overhead = max(0, c.overhead+int64(len(line))+2-chunkOverhead-2*int64(c.remaining))
	if c.overhead > maxChunkOverhead {
		return fmt.Errorf("%w: too little data", errMalformedChunk)
	}
	if c.remaining > 0 {
		return nil
	}
	if _, err := textproto.NewReader(c.reader).ReadMIMEHeader(); err != nil {
		return unexpectedEOF(err)
	}
	return io.EOF
}

// parseChunkLength returns the length, in bytes, that the head of a chunk tells.
func parseChunkLength(head []byte) (uint64, error) {
	digits, _, _ := bytes.Cut(head, []byte(";")) // without extensions
	length, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errMalformedChunk, err)
	}
	return length, nil
}

// readChunkEnd reads the line end behind the data of a chunk.
func (c *chunkedBody) readChunkEnd() error {
	var end [2]byte
	if _, err := io.ReadFull(c.reader, end[:]); err != nil {
		return unexpectedEOF(err)
	}
	if string(end[:]) != "\r\n" {
		return fmt.Errorf("%w: %q behind its data", errMalformedChunk, end)
	}
	return nil
}

// readLine reads the head of a chunk, without its line end. The line is valid until the next read.
func (c *chunkedBody) readLine() ([]byte, error) {
	line, err := c.reader.ReadSlice('\n')
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	head, ended := bytes.CutSuffix(line, []byte("\r\n"))
	if !ended || bytes.IndexByte(head, '\r') >= 0 {
		return nil, fmt.Errorf("%w: line end in %q", errMalformedChunk, line)
	}
	return head, nil
}

// unexpectedEOF returns the error of a read before the end of a body.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
