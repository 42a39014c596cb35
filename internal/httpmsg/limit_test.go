package httpmsg

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// Guards against a body over the limit that looks like a complete one of the limit's length, whatever the size of its reads.
func TestBodyOverLimitNeverLooksComplete(t *testing.T) {
	for name, in := range map[string]func(io.Reader) io.Reader{
		"whole reads":   func(r io.Reader) io.Reader { return r },
		"halves":        iotest.HalfReader,
		"end with data": iotest.DataErrReader,
	} {
		for length, want := range map[int]error{
			0:                nil,
			MaxBodyBytes - 1: nil,
			MaxBodyBytes:     nil,
			MaxBodyBytes + 1: ErrBodyTooLarge,
			MaxBodyBytes * 2: ErrBodyTooLarge,
		} {
			n, err := io.Copy(io.Discard, LimitBody(in(bytes.NewReader(make([]byte, length)))))
			if !errors.Is(err, want) || n != int64(min(length, MaxBodyBytes)) {
				t.Errorf("%s, body of %d bytes: read %d bytes, error %v, want %v", name, length, n, err, want)
			}
		}
	}
}
