package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryeweir/internal/emulator/node"
)

func (fault FaultSpec) fault() node.Fault {
	return node.Fault{
		Kind: node.FaultKind(fault.Kind),
		From: fault.From.D(),
		To:   fault.To.D(),
		Size: fault.Size,
		On:   fault.On.D(),
		Off:  fault.Off.D(),
	}
}

// faultPlacer draws which nodes each fault hits. A node gets at most one fault that ends its process (a drain, a restart or a
// replacement): a second one would hit a process that no longer exists. Nodes that have such a fault are skipped when nodes are drawn or
// taken by zone for another one; naming one of them is an error.
type faultPlacer struct {
	scenario *Scenario
	rng      *rand.Rand
	ending   map[int]bool // by node index: the node has a fault that ends its process
}

// placeFaults draws which nodes the faults of the spec hit, and adds a NodeFault for each.
func (scenario *Scenario) placeFaults(rng *rand.Rand) error {
	placer := faultPlacer{scenario, rng, map[int]bool{}}
	for _, fault := range scenario.Spec.Faults {
		if err := placer.place(fault); err != nil {
			return err
		}
	}
	slices.SortStableFunc(scenario.Faults, func(a, b NodeFault) int { return int(a.From - b.From) })
	return nil
}

func (p *faultPlacer) place(spec FaultSpec) error {
	fault := spec.fault()
	ending := fault.Kind == node.Drain || fault.Kind == node.Restart || fault.Kind == node.Replace
	nodes, err := p.choose(spec, ending)
	if err != nil {
		return err
	}
	for n, i := range nodes {
		if ending && p.ending[i] {
			return fmt.Errorf("fault %s hits %s, which has another fault that ends its process: a node may have only one of %s, %s and %s",
				spec.Kind, p.scenario.Nodes[i].ID, node.Drain, node.Restart, node.Replace)
		}
		p.ending[i] = p.ending[i] || ending
		staggered := fault
		if len(nodes) > 1 {
			wait := spec.Stagger.D() * time.Duration(n) / time.Duration(len(nodes)-1)
			staggered.From, staggered.To = staggered.From+wait, staggered.To+wait
		}
		p.scenario.Faults = append(p.scenario.Faults, NodeFault{i, staggered})
	}
	return nil
}

// choose returns the indices of the nodes that a fault hits: those in Names, those of Zone, and as many others as Nodes says, at
// random. It draws one permutation of the nodes for every fault, even if Nodes is 0 and it is not used.
func (p *faultPlacer) choose(spec FaultSpec, ending bool) (nodes []int, err error) {
	all := p.scenario.Nodes
	for _, name := range spec.Names {
		i := slices.IndexFunc(all, func(s node.Spec) bool { return s.ID == name })
		if i < 0 {
			return nil, fmt.Errorf("fault %s: names has %q, which is not a node: nodes are node-01 to node-%02d", spec.Kind, name, len(all))
		}
		nodes = append(nodes, i)
	}
	available := func(i int) bool { return !slices.Contains(nodes, i) && !(ending && p.ending[i]) }
	for i, s := range all {
		if spec.Zone != "" && s.Zone == spec.Zone && available(i) {
			nodes = append(nodes, i)
		}
	}
	want := len(nodes) + spec.Nodes
	for _, i := range p.rng.Perm(len(all)) {
		if len(nodes) < want && available(i) {
			nodes = append(nodes, i)
		}
	}
	return nodes, nil
}
