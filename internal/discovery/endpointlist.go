package discovery

import (
	"encoding/json"

	"ryeweir/logic"
)

// EndpointList is a full snapshot or a watch event in the JSON format of discovery. Its entries are decoded separately, so that a
// malformed entry does not make the whole list unusable.
type EndpointList struct {
	Version   int64             `json:"version"`
	Full      bool              `json:"full"`
	Endpoints []json.RawMessage `json:"servers"`
}

// ParseEndpointList decodes a list but not its entries. Its errors come from encoding/json.
func ParseEndpointList(data []byte) (list EndpointList, err error) {
	err = json.Unmarshal(data, &list)
	return list, err
}

// entry is one endpoint of a list in the JSON format of discovery.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // Unix time in milliseconds; 0 if the endpoint started long ago
}

// endpointState converts a state name that discovery uses. It returns false for an unknown name.
func endpointState(name string) (state logic.EndpointState, ok bool) {
	switch name {
	case "Ready":
		return logic.Ready, true
	case "Terminating":
		return logic.Draining, true
	case "Gone":
		return logic.Removed, true
	}
	return 0, false
}
