package agent_test

import (
	"net/http"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/callers"
	"ryeweir/internal/emulator/link"
)

// Endpoints are replaced continually, each round uses new keys, and clients connect and disconnect. In production a leak would show only
// after days. Here heap, goroutines and connections must not grow from the second third of the rounds to the last. RYEWEIR_LONG=1 runs
// 45 minutes of fake time instead of 3. The test does not run in parallel with others because it measures the heap of the process.
func TestResourcesDoNotGrow(t *testing.T) {
	rounds := 18 // of 10 s
	if longRun() {
		rounds = 270
	}
	synctest.Test(t, func(t *testing.T) {
		spec := baseSpec()
		spec.Agents, spec.Length, spec.Load, spec.RetainFor = 2, seconds(10), 0.2, seconds(20)
		spec.Discovery.Rate = 0
		drawn, err := spec.Draw(5)
		if err != nil {
			t.Fatal(err)
		}
		network := link.NewNetwork(5)
		w, err := emulator.Start(t.Context(), drawn, emulator.MemoryNetwork{Network: network}, true)
		if err != nil {
			t.Fatal(err)
		}
		defer w.Close()
		s := &simulation{World: w, t: t, network: network, operators: operator.Default()}
		for i := range drawn.Agents {
			s.start(i, emulator.Limits{Cores: 1, MemoryMB: 48, Sockets: 256})
		}
		for i := range drawn.Agents {
			s.awaitReady(i)
		}
		w.InjectFaults()
		type usage struct{ heap, goroutines, connections float64 }
		var thirds [3]usage // averages
		served, sent := 0, 0
		for round := range rounds {
			plan, err := callers.Plan(callers.Spec{Classes: drawn.Classes, Tenants: drawn.Tenants, Rate: drawn.Rate, Duration: 10 * time.Second,
				Shape: callers.Steady, Agents: []float64{3, 1}, Keys: 200, Zipf: 0.9, CostHintError: 0.2}, uint64(round)+1)
			if err != nil {
				t.Fatal(err)
			}
			for i := range plan {
				plan[i].At += w.Now()
				plan[i].Key += "." + time.Duration(round).String() // a key that no endpoint has received before
			}
			replaced := make(chan struct{})
			go func() {
				defer close(replaced)
				w.Replace(round%len(drawn.Nodes), 2*time.Second)
			}()
			calls, _ := callers.Run(t.Context(), callers.Config{Plan: plan, Classes: drawn.Classes, Tenants: drawn.Tenants, ClientProfileAt: drawn.ClientProfileAt,
				Route: s.route, Referee: w.Referee, Epoch: w.Epoch, ResponseBytes: 400, RequestBytes: 200, IDPrefix: uint64(round) + 1})
			<-replaced
			for _, c := range calls {
				if sent++; c.Answered {
					served++
				}
			}
			if round%3 == 2 { // the clients disconnect
				for _, c := range s.clients {
					c.Close()
				}
			}
			at := &thirds[round*3/rounds]
			if n := float64(rounds) / 3; round%3 == 1 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				at.heap += float64(m.HeapAlloc) / (1 << 20) / (n / 3)
				at.goroutines += float64(runtime.NumGoroutine()) / (n / 3)
				for _, a := range drawn.Agents {
					at.connections += float64(network.Open(a)) / (n / 3)
				}
			}
		}
		t.Logf("%d requests in %v; heap in MB, goroutines and connections in each third: %.2f", sent, w.Now(), thirds)
		second, last := thirds[1], thirds[2]
		if last.heap > 1.05*second.heap+0.3 || last.goroutines > 1.1*second.goroutines+3 || last.connections > 1.1*second.connections+3 {
			t.Errorf("heap in MB, goroutines or connections grow: %.2f", thirds)
		}
		if a := w.Referee.Account(); !a.RulesHold() || served < sent*9/10 {
			t.Errorf("%d of %d requests served; %+v %v", served, sent, a, w.Referee.Violations())
		}
		if code := s.get(s.addrs[0], "/ready"); code != http.StatusOK {
			t.Errorf("/ready returns %d at the end", code)
		}
		s.shutDown()
	})
}
