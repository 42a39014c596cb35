package emulator

import (
	"time"

	"ryeweir/internal/config"
)

func ms(n float64) config.Duration { return config.Duration(n * float64(time.Millisecond)) }

// DefaultScenario returns a scenario without faults: 20 s, ten nodes of two kinds in three zones, two agents, and about 290
// requests per second.
func DefaultScenario() ScenarioSpec {
	return ScenarioSpec{
		Name:          "quiet",
		Length:        config.Duration(20 * time.Second),
		Agents:        2,
		AgentSkew:     1,
		Load:          0.5,
		Shape:         "steady",
		Period:        config.Duration(10 * time.Second),
		Keys:          700,
		Zipf:          0.95,
		CostHintError: 0.2,
		ResponseBytes: 400,
		RequestBytes:  200,
		Kinds:         DefaultKinds(),
		Zones:         []string{"colombo", "kandy", "galle"},
		Classes:       DefaultClasses(),
		Tenants:       DefaultTenants(),
		Clients: ClientSpec{
			Retries:                3,
			AttemptTimeoutFraction: 0.42,
			Backoff:                ms(20),
			RetryAfterFraction:     0.2,
			MaxRetryAfter:          ms(2000),
			ImpatientFraction:      0.015,
		},
		Network:   NetworkSpec{Same: ms(0.25), Cross: ms(4.5), Jitter: ms(0.3)},
		Discovery: DiscoverySpec{RemovalDelay: ms(1000), AdditionDelay: ms(800), Rate: 60},
	}
}

// DefaultKinds returns two kinds of machines with ten nodes in all.
func DefaultKinds() []KindSpec {
	return []KindSpec{
		{Name: "gen-a", Nodes: 4, Cores: 2, Speed: 0.97, Spread: 0.1, QueuePerCore: 2.6, Degrades: true, ConnCap: 390, ErrorRate: 0.0003},
		{Name: "gen-b", Nodes: 6, Cores: 2, Speed: 0.75, Spread: 0.16, QueuePerCore: 2.5, Degrades: true, ConnCap: 390, ErrorRate: 0.0003},
	}
}

// DefaultClasses returns an idempotent and a non-idempotent class. Their work is chosen so that the ten nodes of DefaultKinds at
// half load get about 290 requests per second.
func DefaultClasses() []ClassSpec {
	return []ClassSpec{
		{
			Name:             "price-basket",
			Share:            0.6,
			Work:             ms(35),
			CV:               1.1,
			LatencyObjective: ms(500),
			Deadline:         ms(2000),
			PriorityWeight:   1,
			LateWeight:       0.5,
		},
		{
			Name:             "place-order",
			Share:            0.4,
			Work:             ms(18),
			CV:               1,
			LatencyObjective: ms(200),
			Deadline:         ms(800),
			PriorityWeight:   8,
			LateWeight:       0.25,
			NonIdempotent:    true,
		},
	}
}

// DefaultTenants returns four tenants whose shares add up to 1.
func DefaultTenants() []TenantSpec {
	return []TenantSpec{{"ranmuthu-eats", 0.56}, {"kottu-run", 0.24}, {"bath-box", 0.11}, {"sambol-go", 0.09}}
}

// ApplyDefaults sets the fields that have their zero value to the values of DefaultScenario. A table or list is replaced only as a
// whole. Fields for which zero is a setting of its own, such as AgentSkew, are not changed.
func (spec *ScenarioSpec) ApplyDefaults() {
	defaults := DefaultScenario()
	setDefault(&spec.Length, defaults.Length)
	setDefault(&spec.Period, defaults.Period)
	setDefault(&spec.Name, defaults.Name)
	setDefault(&spec.Agents, defaults.Agents)
	setDefault(&spec.Shape, defaults.Shape)
	setDefault(&spec.Load, defaults.Load)
	setDefaultSlice(&spec.Kinds, defaults.Kinds)
	setDefaultSlice(&spec.Zones, defaults.Zones)
	setDefaultSlice(&spec.Classes, defaults.Classes)
	setDefaultSlice(&spec.Tenants, defaults.Tenants)
	setDefault(&spec.Clients, defaults.Clients)
	setDefault(&spec.Network, defaults.Network)
	setDefault(&spec.Discovery, defaults.Discovery)
	if spec.Keys == 0 && spec.Zipf == 0 {
		spec.Keys, spec.Zipf = defaults.Keys, defaults.Zipf
	}
	setDefault(&spec.CostHintError, defaults.CostHintError)
	setDefault(&spec.ResponseBytes, defaults.ResponseBytes)
	setDefault(&spec.RequestBytes, defaults.RequestBytes)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func setDefaultSlice[T any](field *[]T, value []T) {
	if len(*field) == 0 {
		*field = value
	}
}
