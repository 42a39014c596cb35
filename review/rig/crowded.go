package main

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crowded"] = crowded }

// otherSettings is the settings object for a deployment within the ranges of the second site file, cairo-admissions.toml.
const otherSettings = `{"Balancers": 4,
 "Blend": {"Whole": 0.55, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.15},
 "Callers": {"MarksRetry": false},
 "Ceilings": {"ConnIdleNs": 10000000000, "ConnectTimeoutNs": 250000000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 8000, "MaxRetryAfterNs": 2000000000, "MaxStreams": 1, "MayCancel": true, "MostHeld": 20000, "MostTries": 3, "ParallelTries": true, "Peers": false, "Probes": true, "RetryAfter": true},
 "Classes": [{"AimNs": 500000000, "DeadlineNs": 1500000000, "Effect": "repeatable", "Group": "all", "LateWorth": 0.25, "Name": "status-read", "Streamed": false, "WindowNs": 5000000000, "Worth": 2.0}, {"AimNs": 600000000, "DeadlineNs": 3000000000, "Effect": "once", "Group": "all", "LateWorth": 0.5, "Name": "seat-accept", "Streamed": false, "WindowNs": 5000000000, "Worth": 10.0}],
 "Discovery": "subscribe",
 "Family": "mesh",
 "Me": 2,
 "OverShareWorth": 0.2,
 "Prices": {"Connection": 0.0, "CrossZone": 0.025, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.08, "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.0081, "Waste": 0.16},
 "Report": {"Fields": ["eps", "qps", "latency_ms", "queue"], "Via": "pull"},
 "Rules": {"ColdFrom": 0.32, "ColdNs": 9000000000, "DrainGraceNs": 1000000000, "FallNs": 2000000000, "GraceToAnswerNs": 20000000, "MustAskInNs": 10000000000, "OverloadFactor": 3},
 "Skus": ["gen3-fast", "gen2-std", "gen1-slow"],
 "Tenants": [{"Name": "delta-univ", "Portion": 0.37, "QuotaPerS": 100.0}, {"Name": "giza-univ", "Portion": 0.26, "QuotaPerS": 70.0}, {"Name": "canal-univ", "Portion": 0.26, "QuotaPerS": 70.0}, {"Name": "upper-univ", "Portion": 0.11, "QuotaPerS": 30.0}],
 "TickNs": 5000000,
 "Tier": 0,
 "Tiers": ["admit-app"],
 "WeightKind": "nominal",
 "WorthBy": "work",
 "Zone": 2,
 "Zones": ["hall-a", "hall-b", "hall-c"]}`

// crowded: a new configuration names another address of discovery. Discovery is crowded there and answers each call 1.9 s late. An order
// node begins to drain. The agent must send it nothing new once the drain counts as told.
func crowded(r *rig) int {
	const (
		callers = 4
		delay   = 1900 * time.Millisecond
		told    = 6 * time.Second
		grace   = 1050 * time.Millisecond // DrainGraceNs and 50 ms
		watched = 40 * time.Second        // after the change
	)
	nodes := r.startNodes(12, func(s *node, c net.Conn, call *call) bool {
		time.Sleep(20 * time.Millisecond)
		return respond(c, "200 OK", "", []byte("accepted "+call.id))
	})
	for i, s := range nodes {
		s.Zone, s.Kind, s.Cell = []string{"hall-a", "hall-b", "hall-c"}[i%3], []string{"gen3-fast", "gen2-std", "gen1-slow"}[i%3], i/4
	}
	d := r.startDiscovery(entries(nodes))
	a := r.startAgent(d.addr, d.known(), otherSettings)
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				r.exchangeFor(a.addr, "seat-accept", "delta-univ", []byte("seat"), 3*time.Second)
			}
		})
	}
	time.Sleep(5 * time.Second)

	second := r.startDiscovery(entries(nodes))
	second.mu.Lock()
	second.version = d.version
	second.mu.Unlock()
	if r.trouble {
		second.setDelay(delay)
	}
	file := filepath.Join(r.dir, "config.json")
	text, err := os.ReadFile(file)
	if err != nil {
		cannot("%v", err)
	}
	fresh := strings.Replace(string(text), d.addr, second.addr, 1)
	if !json.Valid([]byte(fresh)) || fresh == string(text) {
		cannot("no new configuration")
	}
	if err := os.WriteFile(file+".new", []byte(fresh), 0o600); err != nil {
		cannot("%v", err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		cannot("%v", err)
	}
	a.cmd.Process.Signal(syscall.SIGHUP)
	r.logf("platform: new configuration, discovery at %s, SIGHUP", second.addr)
	d.l.Close()
	time.Sleep(1500 * time.Millisecond)
	d.server.Close()
	r.logf("platform: the old discovery has closed")
	time.Sleep(1500 * time.Millisecond)

	drained := nodes[0]
	for _, s := range nodes { // the one that this agent uses most
		if s.count() > drained.count() {
			drained = s
		}
	}
	second.set(drained.ID, "Terminating")
	changed := time.Now()
	time.Sleep(watched)
	close(stop)
	running.Wait()
	late, last := 0, time.Duration(0)
	drained.mu.Lock()
	for _, call := range drained.calls {
		if after := call.first.Sub(changed); after > told+grace {
			late, last = late+1, after
		}
	}
	drained.mu.Unlock()
	r.logf("%s: requests that reached it over %v after discovery had its drain: %d, the last %v after", drained.ID, told+grace, late, last)
	r.logf("figures: %s", a.metrics())
	if late > 0 {
		r.logf("BROKEN: new work reached a node that drains")
	}
	return verdict(late)
}
