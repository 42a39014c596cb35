package core

import "ryeweir/logic"

// Member is a server as discovery names it.
type Member struct {
	logic.Server
	Addr      string // host and port
	StartedMS int64  // its latest start as discovery names it, the same to all agents; 0 for long ago
}

// List is the list of servers or a change of it. It is only read.
type List struct {
	Full    bool
	Members []Member
}
