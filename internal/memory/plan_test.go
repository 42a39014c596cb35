package memory

import (
	"fmt"
	"testing"
)

// limitsOf returns limits with connections in the proportion that an agent derives from its descriptors.
func limitsOf(megabytes, descriptors int, role Role) Limits {
	endpoints := descriptors * 45 / 100
	return Limits{Bytes: int64(megabytes) << 20, Program: 12 << 20, Role: role, ClientConnections: descriptors - endpoints, EndpointConnections: endpoints}
}

// total returns all that a process may hold by its plan, without the program's file and the files.
func total(p Plan) int64 { return p.Runtime - untouched + p.kernel() + unplanned }

// Failure: parts that are each bounded add up to more than the limit, alone or in an upgrade.
func TestPlansOfAllProcessesStayBelowTheLimit(t *testing.T) {
	for _, megabytes := range []int{32, 48, 64, 96, 192, 2048} {
		for _, descriptors := range []int{256, 512, 1024, 4096} {
			t.Run(fmt.Sprintf("%dMB/%d", megabytes, descriptors), func(t *testing.T) {
				limit := int64(megabytes) << 20
				shared := int64(12<<20 + files)
				alone := NewPlan(limitsOf(megabytes, descriptors, Alone))
				if sum := shared + total(alone); sum > limit {
					t.Errorf("alone: %d bytes over", sum-limit)
				}
				incumbent, newcomer := NewPlan(limitsOf(megabytes, descriptors, Incumbent)), NewPlan(limitsOf(megabytes, descriptors, Newcomer))
				if sum := shared + total(incumbent) + total(newcomer); sum > limit {
					t.Errorf("during an upgrade: %d bytes over", sum-limit)
				}
				for _, plan := range []Plan{alone, incumbent, newcomer} {
					if live := plan.fixed() + plan.Elastic + base; float64(live) > float64(plan.Runtime) {
						t.Errorf("live memory %d over the runtime's limit %d", live, plan.Runtime)
					}
					if plan.ClientConnections < minClientConnections || plan.EndpointConnections < minEndpointConnections || plan.Elastic <= 0 {
						t.Errorf("%+v does not serve", plan)
					}
				}
			})
		}
	}
}

// A plan must not exceed the limits that follow from descriptors, and takes the buffers that an operator sets.
func TestPlanRespectsDescriptorsAndOperators(t *testing.T) {
	limits := limitsOf(2048, 256, Alone)
	plan := NewPlan(limits)
	if plan.ClientConnections != limits.ClientConnections || plan.EndpointConnections != limits.EndpointConnections {
		t.Errorf("%+v with limits %+v", plan, limits)
	}
	limits.SocketBuffer = 1 << 20
	if plan := NewPlan(limits); plan.SocketBuffer != 1<<20 {
		t.Errorf("socket buffer %d, want the operator's", plan.SocketBuffer)
	}
}

// A limit below what the program itself takes must give a plan that still serves a few clients: the platform's limit may be wrong, and an
// agent that does not start serves nobody.
func TestPlanOfTooLowALimitServesAFewClients(t *testing.T) {
	plan := NewPlan(limitsOf(8, 256, Alone))
	if plan.ClientConnections != minClientConnections || plan.EndpointConnections < minEndpointConnections || plan.Runtime < base {
		t.Errorf("%+v", plan)
	}
}
