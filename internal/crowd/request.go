package crowd

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Request describes the valid requests of a class, from which the requests of crowds and floods are made.
type Request struct {
	Method  string // GET or POST
	Path    string // with the name of the class as its first element
	Tenant  string // empty if the settings name no tenants
	Key     string // the idempotency key; empty for none
	Timeout time.Duration
}

// NewID returns a random request ID.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Head returns the head of a request with the given ID, up to and without the empty line that ends it. extra holds further lines, each with
// its line end.
func (r Request) Head(id, extra string) string {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Timeout: %dm\r\n", r.Method, r.Path, id, r.Timeout.Milliseconds())
	if r.Tenant != "" {
		fmt.Fprintf(&head, "X-Tenant-Id: %s\r\n", r.Tenant)
	}
	if r.Key != "" {
		fmt.Fprintf(&head, "Idempotency-Key: %s\r\n", r.Key)
	}
	return head.String() + extra
}

// withLength returns the line that states the length of a body.
func withLength(bytes int) string { return fmt.Sprintf("Content-Length: %d\r\n", bytes) }
