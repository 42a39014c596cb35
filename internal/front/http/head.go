package http

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"ryeweir/internal/httpmsg"
)

// forwardedHeaders are the headers that go on to an endpoint. All others concern the agent or nobody: what a client puts in them
// must not change how an endpoint reads the message.
var forwardedHeaders = [...]string{
	requestIDHeader, keyHeader, tenantHeader, routeKeyHeader, retriedHeader, "X-Cost", "X-Attrs", "Content-Type",
}

// appendHead appends the head of the request as it is forwarded: its line and headers, without the timeout and the empty line.
// net/http has checked that no part of them contains the end of a line.
func appendHead(b []byte, r *http.Request, body *httpmsg.Body) []byte {
	target := r.RequestURI // as it came: net/url would write some characters in another way
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	b = slices.Grow(b, 256+len(target))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendHeader(b, "Host", r.Host)
	for _, name := range forwardedHeaders {
		for _, value := range r.Header[name] {
			b = appendHeader(b, name, value)
		}
	}
	switch {
	case body.Length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case body.Length > 0 || r.Method == http.MethodPost:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, body.Length, 10)
		b = append(b, "\r\n"...)
	}
	return b
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
