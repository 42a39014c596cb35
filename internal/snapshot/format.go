package snapshot

import (
	"time"

	"ryeweir/logic"
)

// document is the JSON of a file. Its keys are those of the first release that wrote snapshots and stay as they are, so that
// each version reads the files of the others; this file maps them to the module's names.
type document struct {
	Agent     string          `json:"agent"`
	Classes   []string        `json:"classes"`
	Taken     time.Time       `json:"taken"`
	Knowledge storedKnowledge `json:"knowledge"`
}

// storedKnowledge is logic.Knowledge as it is stored.
type storedKnowledge struct {
	Endpoints       []storedEndpoint `json:"Servers"`
	BaselineLatency []time.Duration  `json:"Usual"` // nanoseconds, one for each class
	MeanPriority    float64          `json:"Worth"`
}

// storedEndpoint is logic.EndpointKnowledge as it is stored.
type storedEndpoint struct {
	ID                  string        `json:"ID"`
	Age                 time.Duration `json:"Life"` // nanoseconds
	MeanLatency         float64       `json:"Took"` // seconds
	Samples             float64       `json:"Known"`
	FailureRate         float64       `json:"Failing"`
	EjectedFor          time.Duration `json:"Out"` // nanoseconds
	LogCapacity         float64       `json:"Polled"`
	LogCapacityVariance float64       `json:"Error"`
}

// toStored maps the module's knowledge to its stored form.
func toStored(k logic.Knowledge) storedKnowledge {
	stored := storedKnowledge{BaselineLatency: k.BaselineLatency, MeanPriority: k.MeanPriority}
	for _, endpoint := range k.Endpoints {
		stored.Endpoints = append(stored.Endpoints, storedEndpoint(endpoint))
	}
	return stored
}

// toKnowledge maps the stored form to the module's.
func (s storedKnowledge) toKnowledge() logic.Knowledge {
	k := logic.Knowledge{BaselineLatency: s.BaselineLatency, MeanPriority: s.MeanPriority}
	for _, endpoint := range s.Endpoints {
		k.Endpoints = append(k.Endpoints, logic.EndpointKnowledge(endpoint))
	}
	return k
}
