package backend

import "testing"

// Whatever a header says, its figures are sensible: a node's work and its answer's size follow from them.
func FuzzAttrs(f *testing.F) {
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
