package logic

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// In an overload, one tenant sends several times its quota. Its requests must be shed first, while tenants
// within their quotas are served as before. If all tenants stay within their quotas, all must be shed
// equally.
func TestTenantOverQuotaIsShedFirst(t *testing.T) {
	settings := testSettings()
	settings.TenantQuotas, settings.OverQuotaWeight = []float64{0.5, 0.25, 0.25}, 0.2
	for _, burst := range []bool{false, true} {
		h := newHarness(t, settings, 1, 1)
		requests, rejected := [3]float64{}, [3]float64{}
		for i := range 6000 {
			tenant := []int{0, 0, 1, 2}[i%4]
			if burst && i%8 > 2 {
				tenant = 1 // more than twice its quota
			}
			h.overload.level = 0.3
			sent := false
			request := Request{ID: fmt.Sprint(i), Tenant: tenant, Deadline: h.clock + 2*time.Second}
			for _, a := range h.Handle(h.clock, request) {
				if a.Kind == Send {
					sent = true
					h.endAttempt(a.Request, a.Endpoint, 0, OK, NoLoadReport)
				}
			}
			requests[tenant]++
			if !sent {
				rejected[tenant]++
			}
		}
		within, over := rejected[0]/requests[0], rejected[1]/requests[1]
		if burst && over < 1.5*within || !burst && math.Abs(over-within) > 0.06 {
			t.Errorf("burst %v: shed a fraction of %.2f of tenant 0 and %.2f of tenant 1", burst, within, over)
		}
	}
}

// A request may name a tenant that the settings do not define. It must have no quota.
func TestUnknownTenantHasNoQuota(t *testing.T) {
	settings := testSettings()
	settings.TenantQuotas = []float64{0.5}
	h := newHarness(t, settings, 1, 1)
	for _, tenant := range []int{7, -1} {
		h.Handle(h.clock, Request{ID: fmt.Sprint(tenant), Tenant: tenant, Deadline: h.clock + 2*time.Second})
		if factor := h.quotas.priorityFactor(tenant); factor != 1 {
			t.Errorf("tenant %d has the priority factor %v, want 1", tenant, factor)
		}
	}
}
