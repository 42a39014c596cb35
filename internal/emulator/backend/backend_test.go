package backend

import "testing"

// The work of a request and the size of its response come from a header that the client controls. For any header, the parsed
// numbers must not be negative, NaN or so large that a conversion overflows.
func FuzzParseAttrsYieldsOnlyUsableFigures(f *testing.F) {
	f.Add("work=1000,answer=5")
	f.Add("work=-1, =,answer=1e300,work=NaN")
	f.Fuzz(func(t *testing.T, text string) {
		for name, x := range parseAttrs(text) {
			if !(x >= 0 && x < 1e12) {
				t.Errorf("%q: %s is %v, want at least 0 and below 1e12", text, name, x)
			}
		}
	})
}
