package discovery

import (
	"fmt"
	"io"
	"slices"
	"testing"

	"ryeweir/internal/testkit"
	"ryeweir/logic"
)

// Failure: a new process came up at the address of one that had gone, and got the requests of both entries. In whatever order the list tells of
// it, the earlier entry must be removed as soon as the later one is listed, and nothing else may be.
func TestLaterEndpointAtAnAddressReplacesTheEarlierOne(t *testing.T) {
	const addr, other = "127.0.0.1:1", "127.0.0.1:2"
	old := testkit.EndpointJSON("old", addr, "Ready", 1000)
	oldDraining := testkit.EndpointJSON("old", addr, "Terminating", 1000)
	next := testkit.EndpointJSON("next", addr, "Ready", 5000)
	neighbour := testkit.EndpointJSON("neighbour", other, "Ready", 0)
	for name, c := range map[string]struct {
		lists []string
		want  []string // states after the last list
	}{
		"the old entry stays":                {[]string{testkit.EndpointListJSON(1, true, old, neighbour), testkit.EndpointListJSON(2, false, next)}, []string{"next ready", "old removed"}},
		"the old entry stays in a full list": {[]string{testkit.EndpointListJSON(1, true, old), testkit.EndpointListJSON(2, true, old, next, neighbour)}, []string{"neighbour ready", "next ready", "old removed"}},
		"the old entry changes later":        {[]string{testkit.EndpointListJSON(1, true, old, neighbour), testkit.EndpointListJSON(2, false, next), testkit.EndpointListJSON(3, false, oldDraining)}, []string{"old removed"}},
		"the list omits the old one":         {[]string{testkit.EndpointListJSON(1, true, old, neighbour), testkit.EndpointListJSON(2, true, next, neighbour)}, []string{"neighbour ready", "next ready"}},
		"the same start":                     {[]string{testkit.EndpointListJSON(1, true, old), testkit.EndpointListJSON(2, false, testkit.EndpointJSON("twin", addr, "Ready", 1000))}, []string{"twin ready"}},
		"the later one goes":                 {[]string{testkit.EndpointListJSON(1, true, old), testkit.EndpointListJSON(2, false, testkit.EndpointJSON("next", addr, "Gone", 5000))}, []string{"next removed"}},
	} {
		t.Run(name, func(t *testing.T) {
			client, sink := newClient(t, testkit.RefusingAddr(t), 1, noCache, io.Discard)
			for _, text := range c.lists {
				if err := client.apply(parseList(t, text), false); err != nil {
					t.Fatal(err)
				}
			}
			for range len(c.lists) - 1 {
				nextList(t, sink)
			}
			states := map[logic.EndpointState]string{logic.Ready: "ready", logic.Draining: "draining", logic.Removed: "removed"}
			var got []string
			for _, endpoint := range nextList(t, sink).Endpoints {
				got = append(got, fmt.Sprint(endpoint.ID, " ", states[endpoint.State]))
			}
			slices.Sort(got)
			if !slices.Equal(got, c.want) {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}
