package http

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"ryeweir/internal/httpmsg"
)

// forwardedHeaders lists the headers that are forwarded to an endpoint. All others are dropped, so that a client can't use them
// to change how an endpoint parses the message.
var forwardedHeaders = [...]string{
	requestIDHeader, keyHeader, tenantHeader, routeKeyHeader, retriedHeader, "X-Cost", "X-Attrs", "Content-Type",
}

// appendHead appends the head of the forwarded request: the request line and the headers, without the timeout header and the
// empty line that ends the head. net/http has checked that no element contains a line break.
func appendHead(b []byte, r *http.Request, body *httpmsg.Body) []byte {
	target := r.RequestURI // exactly as received; net/url would re-encode some characters
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
