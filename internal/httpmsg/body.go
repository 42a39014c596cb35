package httpmsg

import (
	"bytes"
	"io"
	"net/http"

	"ryeweir/internal/bodybuffer"
)

// Body is a request's body: what is buffered of it and, where that is not all, what still comes in from the client.
type Body struct {
	Buffered  []byte
	Length    int64      // of the whole body, in bytes; -1 when it is not known
	Remainder *Remainder // nil when all is buffered
}

// Reader returns the whole body, for one attempt.
func (b *Body) Reader() io.Reader {
	if b.Remainder == nil {
		return bytes.NewReader(b.Buffered)
	}
	return io.MultiReader(bytes.NewReader(b.Buffered), b.Remainder)
}

// Consumed reports whether the body can't be sent from its beginning any more.
func (b *Body) Consumed() bool { return b.Remainder != nil && b.Remainder.Consumed() }

// Err returns what went wrong on the client's side; nil when nothing has.
func (b *Body) Err() error {
	if b.Remainder == nil {
		return nil
	}
	return b.Remainder.Err()
}

// ReceiveBody reads a request's body as far as it is buffered. The buffer is reserved from the budget, and given back by release,
// which must be called once unless there is an error. The error is that of the upload.
func ReceiveBody(r *http.Request, upload *Upload, budget *bodybuffer.Budget) (body Body, release func(), err error) {
	body.Length = r.ContentLength
	if body.Length == 0 {
		return body, func() {}, nil
	}
	granted := budget.Reserve(bufferSize(body.Length))
	release = func() { budget.Release(granted) }
	var buffer bytes.Buffer
	if body.Length > 0 {
		buffer.Grow(granted)
	}
	n, err := io.CopyN(&buffer, upload, int64(granted))
	body.Buffered = buffer.Bytes()
	switch {
	case err == io.EOF && body.Length < 0, err == nil && n == body.Length:
		body.Length = n
	case err == nil:
		body.Remainder = &Remainder{Upload: upload}
	default:
		release()
		return body, nil, err
	}
	return body, release, nil
}

// bufferSize is the size of the buffer for a body of this length, which may not be known.
func bufferSize(length int64) int {
	if length < 0 {
		return MaxBufferedBytes
	}
	return int(min(length, MaxBufferedBytes))
}
