package bodybuffer

import "testing"

// Exchanges that wait for each other's buffers would wait forever. Therefore an exhausted budget must still grant a minimum, and
// must take back everything that it granted.
func TestExhaustedBudgetGrantsAMinimum(t *testing.T) {
	const size = 100 << 10
	b := NewBudget(size)
	grants := []struct{ want, granted int }{
		{64 << 10, 64 << 10},
		{64 << 10, 36 << 10},
		{64 << 10, minReservation},
		{10, 10},
	}
	for i, grant := range grants {
		if got := b.Reserve(grant.want); got != grant.granted {
			t.Errorf("reservation %d: got %d bytes of %d, want %d", i, got, grant.want, grant.granted)
		}
	}
	for _, grant := range grants {
		b.Release(grant.granted)
	}
	if available := b.available.Load(); available != size {
		t.Errorf("%d bytes available after all were released", available)
	}
}
