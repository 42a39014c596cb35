package budget

// Stats is the state of a budget and counts of what it has done, for metrics. Rates are requests a second; counts only grow.
type Stats struct {
	AdmittedFraction   float64         `json:"Admitted"`     // see Budget.AdmittedFraction
	AllowedRate        float64         `json:"Rate"`         // that may be sent at present
	DemandRate         float64         `json:"Demand"`       // that arrives
	FleetRate          float64         `json:"Fleet"`        // of all agents together; 0 without fresh peers
	Shed               int64           `json:"Shed"`         // requests
	ShedInOrder        int64           `json:"ShedInOrder"`  // of Shed, those below what the rate covers
	RetriesDenied      int64           `json:"Withheld"`     // no token was left
	HealthChecksDenied int64           `json:"ProbesDenied"` // no token was left
	Overloads          int64           `json:"Overloads"`    // attempts that met overload
	SelfOverloads      int64           `json:"Pressed"`      // calls that found the agent itself overloaded
	OwnRate            float64         `json:"Level"`        // that the agent would send without peers
	Priorities         []PriorityStats `json:"Worths"`       // highest first
}

// PriorityStats are the counts of one priority.
type PriorityStats struct {
	Priority   float64 `json:"Worth"`
	DemandRate float64 `json:"Demand"` // requests a second that arrive
	Shed       int64   `json:"Shed"`   // requests
}

// Stats returns the state as of the last call that brought a time.
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
