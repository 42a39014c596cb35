package discovery

import (
	"encoding/json"

	"ryeweir/logic"
)

// EndpointList is a full snapshot or a watch event, in discovery's form. The entries are decoded one by one, so that a malformed one
// does not spoil the list.
type EndpointList struct {
	Version   int64             `json:"version"`
	Full      bool              `json:"full"`
	Endpoints []json.RawMessage `json:"servers"`
}

// ParseEndpointList parses a list without its entries. The error is that of encoding/json.
func ParseEndpointList(data []byte) (list EndpointList, err error) {
	err = json.Unmarshal(data, &list)
	return list, err
}

// entry is an endpoint of the list, in discovery's form.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // Unix time; 0: long ago
}

// endpointState maps discovery's names of the states; false says that the name is unknown.
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
