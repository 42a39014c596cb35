package backend

import "testing"

// A node's work and the size of its response are taken from a header that a client writes. Whatever it holds, no figure may be
// negative, NaN or so large that a conversion overflows.
func FuzzParseAttrsYieldsOnlyUsableFigures(f *testing.F) {
	f.Add("work=1000,answer=5")
	f.Add("work=-1, =,answer=1e300,work=NaN")
	f.Fuzz(func(t *testing.T, text string) {
		for name, x := range parseAttrs(text) {
			if !(x >= 0 && x < 1e12) {
				t.Errorf("%q: %s is %v", text, name, x)
			}
		}
	})
}
