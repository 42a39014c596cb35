package experiment

import (
	"time"

	"ryeweir/internal/config"
	"ryeweir/internal/emulator"
	"ryeweir/internal/emulator/node"
)

// DemoScenario returns a scenario in which one node becomes slow, another fails fast and a third drains.
func DemoScenario(length time.Duration) emulator.ScenarioSpec {
	d := emulator.DefaultScenario()
	d.Name, d.Length = "demo", config.Duration(length)
	at := func(share float64) config.Duration { return config.Duration(share * float64(length)) }
	d.Faults = []emulator.FaultSpec{
		{Kind: string(node.Slow), Names: []string{"node-06"}, From: at(0.15), To: at(0.55), Size: 5},
		{Kind: string(node.FastFail), Names: []string{"node-09"}, From: at(0.35), To: at(0.7), Size: 0.9},
		{Kind: string(node.Drain), Names: []string{"node-02"}, From: at(0.5), To: at(0.85)},
	}
	return d
}
