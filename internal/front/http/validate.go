package http

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"ryeweir/internal/framing"
	"ryeweir/internal/httpmsg"
	"ryeweir/logic"
)

var errGetWithBody = badRequest("a GET has no body")

// validateHead validates everything that can be checked without the body. The error is always an invalidError.
func validateHead(r *http.Request, class *logic.Class) error {
	// Prevents request smuggling: if a message has both a length and a chunked encoding, a second request can be hidden in what a
	// parser that uses the length takes for the body.
	if framing.Ambiguous(r.Context()) {
		return badRequest("a length beside a transfer encoding")
	}
	if r.ContentLength > httpmsg.MaxBodyBytes {
		return invalidError{http.StatusRequestEntityTooLarge, httpmsg.ErrBodyTooLarge.Error()}
	}
	if strings.ContainsFunc(r.Host, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		return badRequest("malformed Host")
	}
	if err := validateMethod(r, class); err != nil {
		return err
	}
	return validateHeaders(r.Header, class)
}

// validateMethod checks that the method fits the class: GET, without a body, for an idempotent class, and POST for all others.
func validateMethod(r *http.Request, class *logic.Class) error {
	want := http.MethodPost
	if class.Idempotency == logic.Idempotent {
		want = http.MethodGet
	}
	if r.Method != want {
		return invalidError{http.StatusMethodNotAllowed, "the method does not fit the class"}
	}
	if want == http.MethodGet && r.ContentLength > 0 {
		return errGetWithBody
	}
	return nil
}

func validateHeaders(header http.Header, class *logic.Class) error {
	for _, name := range [...]string{requestIDHeader, keyHeader, httpmsg.TimeoutHeader} {
		if len(header[name]) > 1 {
			return badRequest(name + " is there more than once")
		}
	}
	if id := firstValue(header, requestIDHeader); id == "" || len(id) > maxRequestIDBytes {
		return badRequest(requestIDHeader + " is missing or too long")
	}
	// Without the key an endpoint can't recognize a retry, so the request can't be treated as idempotent with a key.
	if class.Idempotency == logic.IdempotentWithKey && firstValue(header, keyHeader) == "" {
		return badRequest(keyHeader + " is missing")
	}
	return nil
}

// parseTimeout parses a timeout: a decimal number followed by m for milliseconds or u for microseconds. A value above longest,
// the timeout of the request's class, is reduced to longest, because the request would otherwise hold memory and timers for
// longer.
func parseTimeout(text string, longest time.Duration) (time.Duration, error) {
	malformed := badRequest(httpmsg.TimeoutHeader + " is missing or malformed")
	number, unit := strings.TrimSuffix(text, "m"), time.Millisecond
	if number == text {
		number, unit = strings.TrimSuffix(text, "u"), time.Microsecond
	}
	integer, decimals, hasDecimals := strings.Cut(number, ".")
	if number == text || !isDigits(integer) || hasDecimals && !isDigits(decimals) {
		return 0, malformed
	}
	value, err := strconv.ParseFloat(number, 64)
	if err != nil || value <= 0 {
		return 0, malformed
	}
	return time.Duration(min(value*float64(unit), float64(longest))), nil
}

// isDigits reports whether text consists of 1 to 12 decimal digits.
func isDigits(text string) bool {
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(text) >= 1 && len(text) <= 12
}
