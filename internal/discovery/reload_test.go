package discovery

import (
	"testing"
	"time"

	"ryeweir/internal/testkit"
)

// A new configuration may leave discovery where it was, or point away and back before anything has happened. Where the list is
// subscribed to, the subscription goes on all the same: nobody else would ask again.
func TestReloadThatDoesNotMove(t *testing.T) {
	for name, reload := range map[string]func(d *Client, at string){
		"the same address": func(d *Client, at string) { d.SetAddress(at) },
		"there and back":   func(d *Client, at string) { d.SetAddress("127.0.0.1:1"); d.SetAddress(at) },
		"many in a row": func(d *Client, at string) {
			for range 20 {
				d.SetAddress(at)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := testkit.NewDiscovery(t, 1, testkit.EntryText("s-1", "127.0.0.1:1", "Ready", 0))
			d, events := newFollower(t, Config{Addr: f.Addr().String(), Agents: 1, SubscriptionRequired: true, Log: discard()}, "null")
			d.Subscribe()
			follow(t, d)
			next(t, events)
			testkit.Eventually(t, "a watch is open", func() bool { _, watches := f.Calls(); return watches > 0 })
			reload(d, f.Addr().String())
			time.Sleep(50 * time.Millisecond) // the session before has ended
			f.Set(2, false, testkit.EntryText("s-1", "127.0.0.1:1", "Terminating", 0))
			select {
			case <-events:
			case <-time.After(toldAfter):
				t.Fatal("the change was never heard of")
			}
		})
	}
}
