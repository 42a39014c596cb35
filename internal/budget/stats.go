package budget

// Stats is the state of a budget and counts of its decisions, for metrics. Rates are requests a second. Counts never decrease.
type Stats struct {
	AdmittedFraction   float64         `json:"Admitted"`     // see Budget.AdmittedFraction
	AllowedRate        float64         `json:"Rate"`         // at which requests may be sent at present
	DemandRate         float64         `json:"Demand"`       // at which requests arrive
	FleetRate          float64         `json:"Fleet"`        // of all agents together; 0 without fresh peer state
	Shed               int64           `json:"Shed"`         // requests
	ShedInOrder        int64           `json:"ShedInOrder"`  // those of Shed whose priority the rate did not cover at all
	RetriesDenied      int64           `json:"Withheld"`     // for lack of a token
	HealthChecksDenied int64           `json:"ProbesDenied"` // for lack of a token
	Overloads          int64           `json:"Overloads"`    // attempts that met overload
	SelfOverloads      int64           `json:"Pressed"`      // calls that reported the agent itself overloaded
	OwnRate            float64         `json:"Level"`        // the rate that applies without peers, before late answers lower it
	Priorities         []PriorityStats `json:"Worths"`       // highest first
}

// PriorityStats holds the demand and the counts of one priority.
type PriorityStats struct {
	Priority   float64 `json:"Worth"`
	DemandRate float64 `json:"Demand"` // requests a second
	Shed       int64   `json:"Shed"`   // requests
}

// Stats returns the state as of the latest time passed to any call.
func (b *Budget) Stats() Stats {
	stats := b.stats
	stats.AdmittedFraction = b.AdmittedFraction()
	stats.AllowedRate = b.allowedRate(b.now)
	stats.DemandRate = b.demand.total(b.now)
	stats.OwnRate = b.ownRate()
	for i := range b.demand.classes {
		class := &b.demand.classes[i]
		stats.Priorities = append(stats.Priorities, PriorityStats{class.priority, class.perSecond(b.now), class.shed})
	}
	if b.fleet.fresh(b.now) {
		stats.FleetRate = b.fleet.rate + b.ownRate()
	}
	return stats
}
