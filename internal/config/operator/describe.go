package operator

import (
	"fmt"
	"io"
)

// Describe prints a summary of the file for `ryeweir check`.
func (f *File) Describe(w io.Writer) {
	f.Connections.describe(w)
	f.Overload.describe(w)
	if f.Peers.Enabled {
		fmt.Fprintf(w, "peers: on, at %s, seeds %v, encrypted %v; endpoint facts shared %v, overload budget shared %v\n",
			f.Peers.Bind, f.Peers.Seeds, f.Peers.KeyFile != "", f.Peers.ShareFacts, f.Peers.ShareBudget && f.Overload.Enabled)
	}
	if c := f.Connections; c.PreopenRate > 0 {
		fmt.Fprintf(w, "preopened connections: %g per second to one endpoint by all agents, at most %d idle per agent\n", c.PreopenRate, c.PreopenMaxIdle)
	}
}

func (c *Connections) describe(w io.Writer) {
	fmt.Fprintf(w, "connections: maximum %s, per endpoint %s; concurrent handshakes %s, per endpoint %s; waiting attempts %s\n",
		limitText(c.MaxConnections), limitText(c.MaxPerEndpoint), limitText(c.MaxHandshakes), limitText(c.MaxHandshakesPerEndpoint), limitText(c.MaxWaiters))
	fmt.Fprintf(w, "connection reuse: %s first, up to %g of the endpoints' idle timeout, %g of that for non-idempotent requests\n",
		c.ReuseOrder, c.IdleFraction, c.NonIdempotentIdleFraction)
	fmt.Fprintf(w, "suspect connections: after %d consecutive failed exchanges within %v; action: %s\n", c.SuspectAfterFailures, c.SuspectWindow.D(), c.SuspectAction)
}

// limitText formats a limit, or "derived" if it is 0: then the file does not set it, and the agent derives it from its own limits.
func limitText(limit int) string {
	if limit == 0 {
		return "derived"
	}
	return fmt.Sprint(limit)
}

func (o *Overload) describe(w io.Writer) {
	if !o.Enabled {
		fmt.Fprintln(w, "overload budgets: off")
		return
	}
	fmt.Fprintf(w, "overload budgets: on; target overload ratio %g (higher when less of the demand is admitted), rate at most %g times the sent rate; retries %g per admitted request plus %g per second for the fleet, health checks %g per admitted request\n",
		o.TargetOverloadRatio, o.HeadroomFactor, o.RetryRatio, o.FleetRetryRate, o.HealthCheckRatio)
}
