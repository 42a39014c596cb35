package framing

import (
	"bytes"
	"context"
)

// methods are the methods with which a request can begin, as they stand at its beginning.
var methods = [][]byte{[]byte("GET "), []byte("POST "), []byte("HEAD "), []byte("PUT "), []byte("DELETE "), []byte("OPTIONS "), []byte("PATCH "), []byte("TRACE "), []byte("CONNECT ")}

// maxMethodBytes is the length of the longest of them.
const maxMethodBytes = len("OPTIONS ")

// messageStart is the first bytes behind a message.
type messageStart struct {
	bytes []byte // at most maxMethodBytes, without the line ends before them
}

// add adds bytes that follow.
func (m *messageStart) add(p []byte) {
	if len(m.bytes) == 0 {
		p = bytes.TrimLeft(p, "\r\n")
	}
	m.bytes = append(m.bytes, p[:min(len(p), maxMethodBytes-len(m.bytes))]...)
}

// beginsNoRequest reports whether the bytes can't be the beginning of a request.
func (m *messageStart) beginsNoRequest() bool {
	for _, method := range methods {
		n := min(len(m.bytes), len(method))
		if bytes.Equal(m.bytes[:n], method[:n]) {
			return false
		}
	}
	return true
}

// BodyContinues reports whether bytes have been read behind the latest message with a length on the connection of a request that can begin no other
// request: its body is longer than its length, and the request must not be served by part.
func BodyContinues(ctx context.Context) bool {
	c, ok := fromContext(ctx)
	return ok && c.bodyContinues.Load()
}
