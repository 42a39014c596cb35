// Package memory divides the limit that the platform sets on an agent's memory, so that all that clients can make its processes hold stays
// below it: connections with their kernel buffers, heads, bodies, and garbage that the collector has not collected yet.
//
// A [Plan] is arithmetic alone, without I/O. [ResidentProgram] reads what the program itself takes.
package memory

// Limits are what a Plan divides.
type Limits struct {
	Bytes   int64 // the platform's limit, for all processes of the agent together
	Program int64 // resident pages of the program's file, which the processes share
	Role    Role

	ClientConnections   int // at most, by the limit on descriptors
	EndpointConnections int // at most, by the limit on descriptors
	SocketBuffer        int // per direction, as an operator sets it; 0 if the plan may choose
}

// Role says which part of the limit a process may take.
type Role int

// The roles of a process.
const (
	Alone     Role = iota // no other process of the agent can run at the same time
	Incumbent             // another process may start beside it, during an upgrade
	Newcomer              // another process still serves
)

// Plan says how much of the limit each use may take.
type Plan struct {
	Runtime             int64 // limit of the Go runtime's memory, in bytes, for debug.SetMemoryLimit
	ClientConnections   int   // open connections of clients
	InFlight            int   // of these, connections that may have a request in flight
	EndpointConnections int   // open connections to endpoints
	SocketBuffer        int   // bytes that are requested from the kernel for each buffer of a connection, but for ReceiveBuffer
	ReceiveBuffer       int   // the same for what a client sends: more, as a client's end is seen only behind what fits
	Elastic             int64 // bytes for what exceeds the fixed part of a connection: long heads and bodies
}

// Sizes of what a process holds, in bytes.
const (
	// base is the runtime's memory of an agent without clients, by the runtime's own count: its live heap, stacks and metadata.
	base = 7 << 20
	// untouched is the part of base that the runtime counts but never writes, so that it is not resident.
	untouched = 3 << 20
	// unplanned is for what neither the program's file nor the runtime holds: the C library, thread stacks and page tables.
	unplanned = 1 << 20
	// files is for what the processes write to their temporary folder, which counts as memory.
	files = 1 << 20
	// newcomerClients is for the clients of a process that starts while another still serves.
	newcomerClients = 2 << 20

	// clientConnection is the memory of a client's connection between requests, or while a request of ordinary size is read: the stack of its
	// goroutine, the buffers of net/http, the parsed head and the smallest body buffer.
	clientConnection = 26 << 10
	// inFlightRequest is what a request in flight adds: the call, the stacks and buffers of an attempt, and the smallest buffer of its answer.
	inFlightRequest = 22 << 10
	// endpointConnection is the memory of a connection to an endpoint: its reader, its reused request buffer and its state.
	endpointConnection = 8 << 10

	minSocketBuffer = 4 << 10
	maxSocketBuffer = 64 << 10
	// kernelFactor is the kernel's memory of a buffer over what is requested, for its own structures.
	kernelFactor = 2
	// receiveFactor is a client's receive buffer over the others.
	receiveFactor = 2
)

// Fractions of a plan.
const (
	// collectorHeadroom is the runtime's limit over its live memory. With less, the collector would run all the time.
	collectorHeadroom = 1.4
	// elasticFraction is the least fraction of the live memory for clients that is left for long heads and bodies.
	elasticFraction = 0.35
	// newcomerFraction is the fraction of the memory for clients that a process which starts beside another may take.
	newcomerFraction = 0.25
	// inFlightFraction is the fraction of the clients' connections that may have a request in flight. The others are for requests that are
	// still being read, and for rejections.
	inFlightFraction = 0.8
	// leanInFlightFraction is the same fraction where memory is short: more clients can be read and rejected in its place.
	leanInFlightFraction = 0.4
	// enoughClients is the fraction of the clients' connections allowed by descriptors for which larger kernel buffers are given up.
	enoughClients = 0.6

	minClientConnections   = 8
	minEndpointConnections = 6
)

// NewPlan divides the limits. Where memory does not suffice for what descriptors allow, kernel buffers are smaller first, then fewer
// requests are in flight at a time, and then there are fewer connections.
func NewPlan(limits Limits) Plan {
	forClients := limits.forClients()
	if limits.SocketBuffer > 0 {
		return limits.fill(forClients, limits.SocketBuffer, inFlightFraction)
	}
	var plan Plan
	for _, fraction := range []float64{inFlightFraction, leanInFlightFraction} {
		for buffer := maxSocketBuffer; buffer >= minSocketBuffer; buffer /= 2 {
			plan = limits.fill(forClients, buffer, fraction)
			if float64(plan.ClientConnections) >= enoughClients*float64(limits.ClientConnections) {
				return plan
			}
		}
	}
	return plan
}

// forClients returns how much memory the clients of this process may take: kernel buffers, live memory and garbage.
func (l *Limits) forClients() int64 {
	const process = base - untouched + unplanned
	available := l.Bytes - l.Program - files - process
	if l.Role == Alone {
		return max(0, available)
	}
	available -= process
	newcomer := max(newcomerClients, int64(newcomerFraction*float64(available)))
	if l.Role == Newcomer {
		return newcomer
	}
	return max(0, available-newcomer)
}

// fill returns the plan with as many connections as fit, for a given size of the kernel's buffers and fraction of requests in flight.
func (l *Limits) fill(forClients int64, buffer int, inFlight float64) Plan {
	plan := Plan{ClientConnections: l.ClientConnections, SocketBuffer: buffer, ReceiveBuffer: receiveFactor * buffer}
	plan.limitInFlight(inFlight, l.EndpointConnections)
	for !plan.fits(forClients) && plan.ClientConnections > minClientConnections {
		plan.ClientConnections--
		plan.limitInFlight(inFlight, min(l.EndpointConnections, max(minEndpointConnections, plan.InFlight)))
	}
	runtime := max(0, forClients-plan.kernel())
	plan.Runtime = base + runtime
	plan.Elastic = max(0, int64(float64(runtime)/collectorHeadroom)-plan.fixed())
	return plan
}

// limitInFlight sets the requests in flight to a fraction of the clients' connections, and the connections to endpoints.
func (p *Plan) limitInFlight(fraction float64, endpoints int) {
	p.InFlight = max(1, int(fraction*float64(p.ClientConnections)))
	p.EndpointConnections = endpoints
}

// fits reports whether the plan's connections leave enough for long heads and bodies.
func (p *Plan) fits(forClients int64) bool {
	live := float64(p.fixed()) / (1 - elasticFraction)
	return live*collectorHeadroom+float64(p.kernel()) <= float64(forClients)
}

// fixed returns the live memory that the plan's connections take, in bytes.
func (p *Plan) fixed() int64 {
	return int64(p.ClientConnections)*clientConnection + int64(p.InFlight)*inFlightRequest + int64(p.EndpointConnections)*endpointConnection
}

// kernel returns the memory that the kernel's buffers of the plan's connections may take, in bytes.
func (p *Plan) kernel() int64 {
	clients := p.ClientConnections * (p.ReceiveBuffer + p.SocketBuffer)
	endpoints := p.EndpointConnections * 2 * p.SocketBuffer
	return kernelFactor * int64(clients+endpoints)
}
