package emulator_test

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"

	"ryeweir/internal/emulator"
)

// Agents read their settings by these keys. If a key were renamed together with its field, agents would silently use zero in its
// place, and no other test would fail.
func TestKeysOfAgentSettingsStay(t *testing.T) {
	spec := emulator.DefaultScenario()
	scenario, err := spec.Draw(1)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(scenario.Settings(0))
	if err != nil {
		t.Fatal(err)
	}
	var settings map[string]any
	if err := json.Unmarshal(text, &settings); err != nil {
		t.Fatal(err)
	}
	for object, keys := range map[string]string{
		"": "Balancers Blend Callers Ceilings Classes Discovery Domain Family Me OverShareWorth Prices Report Rules Skus Tenants " +
			"TickNs Tier Tiers WeightKind WorthBy Zone Zones",
		"Blend":   "Whole WorstClass WorstTenant WorstWindow",
		"Callers": "MarksRetry",
		"Ceilings": "ConnIdleNs ConnectTimeoutNs CpuUsPerRequest CpuUsPerS MaxRetryAfterNs MaxStreams MayCancel MostHeld MostTries " +
			"ParallelTries Peers Probes RetryAfter",
		"Classes": "AimNs DeadlineNs Effect Group LateWorth Name Streamed WindowNs Worth",
		"Domain":  "WarmKeys",
		"Prices":  "Connection CrossZone Discovery Handshake LateFail Moves Origin Peer Probe Waste",
		"Report":  "Fields Via",
		"Rules":   "ColdFrom ColdNs DrainGraceNs FallNs GraceToAnswerNs MustAskInNs OverloadFactor",
		"Tenants": "Name Portion QuotaPerS",
	} {
		got := settings
		switch value := settings[object].(type) {
		case map[string]any:
			got = value
		case []any:
			got = value[0].(map[string]any)
		}
		if keys := strings.Fields(keys); !slices.Equal(slices.Sorted(maps.Keys(got)), keys) {
			t.Errorf("object %q has the keys %v, want %v", object, slices.Sorted(maps.Keys(got)), keys)
		}
	}
}
