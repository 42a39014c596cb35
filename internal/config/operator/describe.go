package operator

import (
	"fmt"
	"io"
)

// Describe prints in a few lines what the file means, for `ryeweir check`.
func (f *File) Describe(w io.Writer) {
	f.Connections.describe(w)
	f.Overload.describe(w)
	if f.Peers.Enabled {
		fmt.Fprintf(w, "peers: on, at %s, seeds %v, encrypted %v; facts of servers %v, one level for the fleet's budgets %v\n",
			f.Peers.Bind, f.Peers.Seeds, f.Peers.KeyFile != "", f.Peers.ShareFacts, f.Peers.ShareBudget && f.Overload.Enabled)
	}
	if c := f.Connections; c.PreopenRate > 0 {
		fmt.Fprintf(w, "opened ahead of need: %g a second on one server by all agents, %d idle ones each at the most\n", c.PreopenRate, c.PreopenMaxIdle)
	}
}

func (c *Connections) describe(w io.Writer) {
	fmt.Fprintf(w, "connections: places %s, per server %s, handshakes %s (per server %s), waiting %s\n",
		limitText(c.MaxConnections), limitText(c.MaxPerEndpoint), limitText(c.MaxHandshakes), limitText(c.MaxHandshakesPerEndpoint), limitText(c.MaxWaiters))
	fmt.Fprintf(w, "used again: %s first, for %g of the servers' idle limit, %g of that for what must not repeat\n",
		c.ReuseOrder, c.IdleFraction, c.NonIdempotentIdleFraction)
	fmt.Fprintf(w, "suspect after %d broken exchanges in a row within %v: %s\n", c.SuspectAfterFailures, c.SuspectWindow.D(), c.SuspectAction)
}

// limitText prints a limit, of which 0 is one that the agent derives.
func limitText(limit int) string {
	if limit == 0 {
		return "worked out"
	}
	return fmt.Sprint(limit)
}

func (o *Overload) describe(w io.Writer) {
	if !o.Enabled {
		fmt.Fprintln(w, "fleet's budgets: off")
		return
	}
	fmt.Fprintf(w, "fleet's budgets: on; the rate holds still where %g of attempts meet overload (the more the less of the demand is taken), at most %g times what was sent; retries %g of first tries and %g a second for the fleet, probes %g\n",
		o.TargetOverloadRatio, o.HeadroomFactor, o.RetryRatio, o.FleetRetryRate, o.HealthCheckRatio)
}
