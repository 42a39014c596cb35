package callers

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one attempt as an HTTP request.
type Request struct {
	ID, Class, Tenant, Key string
	NonIdempotent          bool // sent as a POST with a body, otherwise as a GET without one
	Timeout                time.Duration
	CostHint               time.Duration // 0 for none
	Work                   time.Duration // true cost, on a core of speed 1
	ResponseBytes          int           // requested size of the response body; 0 for the node's default
	Body                   string
	WriteInterval          time.Duration // pause of a slow client between two writes of parts of the request; 0 for a single write
}

// text returns the request in HTTP/1.1 format.
func (r Request) text(host string) string {
	var b strings.Builder
	method := http.MethodGet
	if r.NonIdempotent {
		method = http.MethodPost
	}
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Timeout: %du\r\n", method, r.Class, host, r.ID, r.Timeout.Microseconds())
	if r.Tenant != "" {
		b.WriteString("X-Tenant-Id: " + r.Tenant + "\r\n")
	}
	if r.Key != "" {
		b.WriteString("X-Route-Key: " + r.Key + "\r\n")
	}
	if r.CostHint > 0 {
		b.WriteString("X-Cost: " + strconv.FormatInt(r.CostHint.Microseconds(), 10) + "\r\n")
	}
	fmt.Fprintf(&b, "X-Attrs: work=%d", r.Work.Microseconds())
	if r.ResponseBytes > 0 {
		fmt.Fprintf(&b, ",answer=%d", r.ResponseBytes)
	}
	b.WriteString("\r\n")
	if r.NonIdempotent {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
	} else {
		b.WriteString("\r\n")
	}
	return b.String()
}
