package bodybuffer

import "testing"

// Exchanges that wait for buffers which others hold would wait forever. So a budget that is used up still grants a little, and it
// takes back all that it granted.
func TestExhaustedBudgetGrantsAMinimum(t *testing.T) {
	const size = 100 << 10
	b := NewBudget(size)
	grants := []struct{ want, granted int }{
		{64 << 10, 64 << 10},
		{64 << 10, 36 << 10},
		{64 << 10, minGrant},
		{10, 10},
	}
	for i, grant := range grants {
		if got := b.Reserve(grant.want); got != grant.granted {
			t.Errorf("grant %d: %d bytes of %d, want %d", i, got, grant.want, grant.granted)
		}
	}
	for _, grant := range grants {
		b.Release(grant.granted)
	}
	if left := b.left.Load(); left != size {
		t.Errorf("%d bytes are left after all was released", left)
	}
}
