package http

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"ryeweir/internal/httpmsg"
)

// The forwarded head has only the headers meant for an endpoint, and exactly one header that gives the length of the body.
func TestForwardedHeadIsUnambiguous(t *testing.T) {
	_, r := newServer(t, http.MethodPost, "/refund-record/a%2Fb?x=1", "form")
	r.Host = "origin.svc"
	for name, value := range map[string]string{"Connection": "x-cost", "X-Cost": "3", "Content-Length": "999", "Transfer-Encoding": "x", "Cookie": "c"} {
		r.Header.Set(name, value)
	}
	for length, framing := range map[int64]string{4: "Content-Length: 4", 0: "Content-Length: 0", -1: "Transfer-Encoding: chunked"} {
		got := string(appendHead(nil, r, &httpmsg.Body{Length: length}))
		if want := "POST /refund-record/a%2Fb?x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nIdempotency-Key: k\r\n" +
			"X-Tenant-Id: glasgow-airport\r\nX-Cost: 3\r\n" + framing + "\r\n"; got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// Path and query are forwarded byte for byte, including characters that net/url would encode differently.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	for _, target := range []string{"/form-check", "/form-check/a%2Fb?x=1&y", "/form-check/a|b^{c}\"d\"", "/form-check/%7Ea%2c?", "/form-check//b/../c?q=a+b%20c", "/form-check/ä"} {
		_, r := newServer(t, http.MethodGet, "/form-check", "")
		parsed, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: o\r\n\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		r.URL, r.RequestURI = parsed.URL, parsed.RequestURI
		got, _, _ := strings.Cut(string(appendHead(nil, r, &httpmsg.Body{})), "\r\n")
		if want := "GET " + target + " HTTP/1.1"; got != want {
			t.Errorf("want the request line %q, got %q", want, got)
		}
	}
}
