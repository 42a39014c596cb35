package backend

import (
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"time"
)

// writeTimeout limits the write of a response, in case the client does not read it.
const writeTimeout = 10 * time.Second

// respond writes a response. It returns false if the connection must be closed. headers consists of complete header lines, each
// terminated by CRLF.
func (c *conn) respond(status int, headers, body string) bool {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), headers, len(body))
	_, err := io.WriteString(c, head+body)
	return err == nil
}

// responseBody returns the body that a node produces for a request. Each is unique, so that a response which an agent returns for
// the wrong request, or fabricates, is detected.
func responseBody(id, node string, ticket uint64, size int) string {
	head := fmt.Sprintf("request %s served by %s as its number %d\n", id, node, ticket)
	if size <= len(head) {
		return head
	}
	const filler = "this line pads the response body to the size that the caller requested\n"
	return head + strings.Repeat(filler, (size-len(head))/len(filler)+1)[:size-len(head)]
}

// NewBodyHash returns the hash function that callers and nodes use to compare response bodies.
func NewBodyHash() hash.Hash64 { return fnv.New64a() }
