package core

import "ryeweir/logic"

// Endpoint is a server as discovery names it.
type Endpoint struct {
	logic.Endpoint
	Addr             string // host and port
	StartedUnixMilli int64  // its latest start as discovery names it, the same to all agents; 0 for long ago
}

// EndpointList is the list of servers or a change of it. It is only read.
type EndpointList struct {
	Full      bool
	Endpoints []Endpoint
}
