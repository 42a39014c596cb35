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

// writeTimeout is for a response that the client does not read.
const writeTimeout = 10 * time.Second

// respond writes a response; false ends the connection. headers are lines with their ends.
func (c *conn) respond(status int, headers, body string) bool {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), headers, len(body))
	_, err := io.WriteString(c, head+body)
	return err == nil
}

// responseBody returns the body that a node makes for a request. No two are alike, so that a response that an agent gives to
// the wrong request, or invents, is noticed.
func responseBody(id, node string, ticket uint64, size int) string {
	head := fmt.Sprintf("request %s served by %s as its number %d\n", id, node, ticket)
	if size <= len(head) {
		return head
	}
	const filler = "this line fills the answer up to its size, as menus and receipts do\n"
	return head + strings.Repeat(filler, (size-len(head))/len(filler)+1)[:size-len(head)]
}

// NewBodyHash returns the hash by which callers and nodes compare response bodies.
func NewBodyHash() hash.Hash64 { return fnv.New64a() }
