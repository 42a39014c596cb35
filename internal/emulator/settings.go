package emulator

import (
	"encoding/json"
	"fmt"
	"slices"

	"ryeweir/internal/emulator/discovery"
)

// Limits are what an agent is given of its machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// DefaultLimits are those of the platform's scored days.
func DefaultLimits() Limits { return Limits{Cores: 1, MemoryMB: 192, Sockets: 1024} }

// AgentConfig is the platform's configuration of an agent of this day, as JSON.
func (day *Scenario) AgentConfig(agent int, listen, control, disco string, limits Limits, known *discovery.List) ([]byte, error) {
	doc := map[string]any{"name": day.Agents[agent], "listen": listen, "discovery": disco, "seed": fmt.Sprintf("%016x", day.Seed*64+uint64(agent)+1),
		"limits": limits, "settings": day.Settings(agent)}
	if control != "" {
		doc["control"] = control
	}
	if known != nil {
		doc["known"] = known
	}
	return json.MarshalIndent(doc, "", " ")
}

// Settings is the settings object of an agent, with the names and units of the platform's wire.
func (day *Scenario) Settings(agent int) map[string]any {
	var classes, tenants []any
	for _, c := range day.Classes {
		effect := "repeatable"
		if c.NonIdempotent {
			effect = "once"
		}
		classes = append(classes, map[string]any{"Name": c.Name, "Effect": effect, "Group": "all", "AimNs": c.LatencyObjective, "DeadlineNs": c.Deadline,
			"Worth": c.PriorityWeight, "LateWorth": c.LateWeight, "WindowNs": 5_000_000_000, "Streamed": false})
	}
	total := 0.0
	for _, t := range day.Tenants {
		total += t.Share
	}
	for _, t := range day.Tenants {
		tenants = append(tenants, map[string]any{"Name": t.Name, "Portion": t.Share / total, "QuotaPerS": day.Rate * t.Share / total})
	}
	kinds := []string{}
	for _, k := range day.Spec.Kinds {
		kinds = append(kinds, k.Name)
	}
	usual := day.Nodes[0]
	return map[string]any{
		"Balancers": len(day.Agents), "Me": agent, "TickNs": 5_000_000, "Family": "mesh", "Discovery": "subscribe",
		"Blend":   map[string]any{"Whole": 0.35, "WorstWindow": 0.35, "WorstClass": 0.2, "WorstTenant": 0.1},
		"Callers": map[string]any{"MarksRetry": false},
		"Ceilings": map[string]any{"ConnIdleNs": ConnectionIdleTimeout, "ConnectTimeoutNs": ConnectTimeout, "CpuUsPerRequest": 0.0, "CpuUsPerS": 80000,
			"MaxRetryAfterNs": day.Spec.Clients.MaxRetryAfter.D(), "MaxStreams": 1, "MayCancel": true, "MostHeld": 20000, "MostTries": 5,
			"ParallelTries": true, "Peers": false, "Probes": true, "RetryAfter": true},
		"Classes": classes, "Tenants": tenants, "Domain": map[string]any{"WarmKeys": true}, "OverShareWorth": 0.2,
		"Prices": map[string]any{"CrossZone": 0.01, "LateFail": 0.03, "Probe": 0.045, "Waste": 0.05, "Connection": 0.0, "Discovery": 0.0,
			"Handshake": 0.0, "Moves": 0.0, "Origin": 0.0, "Peer": 0.0},
		"Report": map[string]any{"Fields": []string{"qps", "util"}, "Via": "pull"},
		"Rules": map[string]any{"ColdFrom": usual.SlowStartInitialFraction, "ColdNs": usual.SlowStartWindow, "DrainGraceNs": 250_000_000, "FallNs": usual.OverloadWindow,
			"GraceToAnswerNs": 20_000_000, "MustAskInNs": 10_000_000_000, "OverloadFactor": usual.SlowStartOverloadFactor},
		"Skus": kinds, "Tier": 0, "Tiers": []string{"order-api"}, "WeightKind": "silent", "WorthBy": "work",
		"Zone": slices.Index(day.Spec.Zones, day.AgentZone(agent)), "Zones": day.Spec.Zones,
	}
}
