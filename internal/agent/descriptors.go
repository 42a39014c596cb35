package agent

import "ryeweir/internal/control"

// How the limit on file descriptors is divided.
const (
	minDescriptors      = 100  // a lower limit is taken as this: with fewer an agent can't work
	maxDescriptors      = 4096 // a higher limit is taken as this: more connections are never needed
	reservedDescriptors = 24   // for the listener, discovery, the runtime and files

	endpointFraction = 0.45 // of the descriptors, for connections to endpoints
	// endpointFractionInHandover is endpointFraction of each of two processes that share the limit.
	endpointFractionInHandover = 0.27
)

// connectionLimits are the most connections that an agent may have.
type connectionLimits struct{ toEndpoints, fromClients int }

// limitConnections divides a limit on file descriptors, so that neither side can use up those of the other: an accept or a
// dial that fails for lack of descriptors would drop requests.
//
// With an inherited listener two processes share the limit for a while. Clients move from one to the other, so that their
// descriptors are needed once, but each process has connections to endpoints of its own.
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
