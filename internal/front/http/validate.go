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

var errGetWithBody = invalid("a GET has no body")

// validateHead checks what does not depend on the body. Its error is an invalidError.
func validateHead(r *http.Request, class *logic.Class) error {
	// Guard against request smuggling: beside a length, chunks may hide a second request in what the length makes the body.
	if framing.Ambiguous(r.Context()) {
		return invalid("a length beside a transfer encoding")
	}
	if r.ContentLength > httpmsg.MaxBodyBytes {
		return invalidError{http.StatusRequestEntityTooLarge, httpmsg.ErrBodyTooLarge.Error()}
	}
	if strings.ContainsFunc(r.Host, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		return invalid("malformed Host")
	}
	if err := validateMethod(r, class); err != nil {
		return err
	}
	return validateHeaders(r.Header, class)
}

// validateMethod checks that the method fits the class: GET for idempotent ones, which have no body, and POST for others.
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
			return invalid(name + " is there more than once")
		}
	}
	if id := firstValue(header, requestIDHeader); id == "" || len(id) > maxRequestIDBytes {
		return invalid(requestIDHeader + " is missing or too long")
	}
	// Without the key an endpoint could not recognize a retry, so the request must not be treated as one of this class.
	if class.Idempotency == logic.IdempotentWithKey && firstValue(header, keyHeader) == "" {
		return invalid(keyHeader + " is missing")
	}
	return nil
}

// parseTimeout reads a timeout: a decimal number and a unit, m for milliseconds or u for microseconds. More than longest, the
// deadline of the request's class, is cut to that: it would hold memory and timers for as long.
func parseTimeout(text string, longest time.Duration) (time.Duration, error) {
	malformed := invalid(httpmsg.TimeoutHeader + " is missing or malformed")
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

// isDigits reports whether a text is one to twelve digits and nothing else.
func isDigits(text string) bool {
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(text) >= 1 && len(text) <= 12
}
