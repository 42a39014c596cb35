package agent

import "ryeweir/internal/control"

// The constants with which limitConnections divides the limit on file descriptors.
const (
	minDescriptors      = 100  // a lower limit is raised to this, because an agent can't work with fewer
	maxDescriptors      = 4096 // a higher limit is reduced to this, because an agent never needs more connections
	reservedDescriptors = 24   // for the listener, discovery, the runtime and files

	endpointFraction = 0.45 // fraction of the available descriptors that is for connections to endpoints
	// endpointFractionInHandover is the same fraction for each of the two processes that share the limit in a handover.
	endpointFractionInHandover = 0.27
)

// connectionLimits holds the maximum numbers of connections to endpoints and from clients.
type connectionLimits struct{ toEndpoints, fromClients int }

// limitConnections divides a limit on file descriptors between connections to endpoints and connections from clients, so that
// neither side can use up the descriptors of the other. An accept or a dial that fails for lack of descriptors would drop requests.
//
// With an inherited listener two processes share the limit until the handover is complete. Clients move from one process to the
// other, so their descriptors are counted once. Each process has its own connections to endpoints, so theirs are counted twice.
func limitConnections(descriptors int, env Environment) connectionLimits {
	available := min(max(descriptors, minDescriptors), maxDescriptors) - reservedDescriptors
	if env.Control != nil {
		available -= control.MaxDescriptors
	}
	if !env.Inherited {
		toEndpoints := int(float64(available) * endpointFraction)
		return connectionLimits{toEndpoints: toEndpoints, fromClients: available - toEndpoints}
	}
	available -= reservedDescriptors
	toEndpoints := int(float64(available) * endpointFractionInHandover)
	return connectionLimits{toEndpoints: toEndpoints, fromClients: available - 2*toEndpoints}
}
