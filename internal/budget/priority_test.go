package budget

import (
	"testing"
	"time"
)

// A tenant with a quota of one half sends nine tenths of the requests. Its requests over the quota must get the lower priority.
func TestRequestsOverTenantQuotaHaveLowerPriority(t *testing.T) {
	o := NewPriorityOrder([]float64{8, 1}, []float64{0.5, 0.5}, 0.25, 1)
	low := make([]int, 2)
	now := time.Second
	for i := range 4000 {
		tenant := 0
		if i%10 == 0 {
			tenant = 1
		}
		if o.Priority(now, 0, tenant) < 8 {
			low[tenant]++
		}
		now += ms
	}
	// Tenant 0 sends 0.9 with a quota of 0.5, so 0.44 of its requests are over the quota.
	if got := float64(low[0]) / 3600; got < 0.35 || got > 0.5 || low[1] > 0 {
		t.Errorf("of tenant 0 a fraction of %.3f is over its quota, want 0.35 to 0.5; of tenant 1 %d requests, want 0", got, low[1])
	}
	if o.Priority(now, 1, -1) != 1 || o.Priority(now, 5, 0) != 0 {
		t.Error("wrong priority of a request without a tenant or of an unknown class")
	}
}
