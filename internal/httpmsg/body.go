package httpmsg

import (
	"bytes"
	"io"
	"net/http"

	"ryeweir/internal/bodybuffer"
)

// Body is the body of a request: the buffered part and, if that is not all of it, the remainder that still arrives from the client.
type Body struct {
	Buffered  []byte
	Length    int64      // of the whole body, in bytes; -1 if unknown
	Remainder *Remainder // nil if the whole body is buffered
}

// Reader returns a reader of the whole body, for one attempt.
func (b *Body) Reader() io.Reader {
	if b.Remainder == nil {
		return bytes.NewReader(b.Buffered)
	}
	return io.MultiReader(bytes.NewReader(b.Buffered), b.Remainder)
}

// Consumed reports whether part of the remainder has been read, so that the body can no longer be sent from its beginning.
func (b *Body) Consumed() bool { return b.Remainder != nil && b.Remainder.Consumed() }

// Err returns the error on the client's side, or nil if there is none.
func (b *Body) Err() error {
	if b.Remainder == nil {
		return nil
	}
	return b.Remainder.Err()
}

// ReceiveBody reads the body of a request into a buffer that it reserves from the budget. What does not fit becomes the body's
// Remainder. Unless ReceiveBody returns an error, the caller must call release exactly once; it returns the buffer to the budget.
// The error is that of upload.
func ReceiveBody(r *http.Request, upload *Upload, budget *bodybuffer.Budget) (body Body, release func(), err error) {
	body.Length = r.ContentLength
	if body.Length == 0 {
		return body, func() {}, nil
	}
	granted := budget.Reserve(bufferSize(body.Length))
	release = func() { budget.Release(granted) }
	body.Buffered, err = readUpTo(upload, granted, body.Length < 0)
	n := int64(len(body.Buffered))
	switch {
	case err == io.EOF && (body.Length < 0 || n == body.Length), err == nil && n == body.Length:
		body.Length = n
	case err == nil:
		body.Remainder = &Remainder{Upload: upload, Budget: budget}
		release = func() {
			body.Remainder.Discard()
			budget.Release(granted)
		}
	default:
		release()
		return body, nil, err
	}
	return body, release, nil
}

// firstBufferBytes is the size of the first buffer for a body of unknown length, in bytes.
const firstBufferBytes = 4 << 10

// readUpTo reads up to limit bytes of a body into a buffer that is never larger than that. If the length is unknown, the buffer grows with
// what arrives. The error is nil once limit bytes have been read, and otherwise that of the reader; io.EOF means that the body has ended.
func readUpTo(r io.Reader, limit int, unknownLength bool) (buffer []byte, err error) {
	size := limit
	if unknownLength {
		size = min(limit, firstBufferBytes)
	}
	buffer = make([]byte, 0, size)
	for len(buffer) < limit && err == nil {
		if len(buffer) == cap(buffer) {
			buffer = append(make([]byte, 0, min(limit, 2*cap(buffer))), buffer...)
		}
		var n int
		n, err = r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
	}
	return buffer, err
}

// bufferSize returns the size of the buffer for a body of the given length, or of unknown length if it is negative.
func bufferSize(length int64) int {
	if length < 0 {
		return MaxBufferedBytes
	}
	return int(min(length, MaxBufferedBytes))
}
