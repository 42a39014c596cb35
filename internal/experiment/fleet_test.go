package experiment

import (
	"io"
	"strings"
	"testing"
	"time"

	"ryeweir/internal/config"
)

// smallFleet returns the specification of a model of 30 agents and 6 servers. variants is TOML text with the variants.
func smallFleet(t *testing.T, variants string) FleetSpec {
	t.Helper()
	spec := DefaultFleet()
	text := "agents = 30\nservers = 6\nsubset = 4\nrate = 400.0\nlength = \"8s\"\nstart = \"2s\"\nrepeats = 3\n" + variants
	if err := config.TOML("fleet.toml", []byte(text), &spec); err != nil {
		t.Fatal(err)
	}
	return spec
}

// When a server restarts, all agents connect to it. In the model, agents that open connections ahead of demand must cause more handshakes
// at the restart and more open connections than agents that open connections on demand; otherwise the model can't tell the two apart. A
// second run of the same file must give the same figures.
func TestConnectionModelRepeatsAndShowsCostOfOpeningAhead(t *testing.T) {
	spec := smallFleet(t, "[[fleet_arm]]\nname = \"needed\"\n[[fleet_arm]]\nname = \"ahead\"\n[fleet_arm.connections]\nahead_per_second = 1000000.0\nahead_keep = 4\n")
	first, err := RunFleetModel(&spec, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	again, err := RunFleetModel(&spec, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for i := range first {
		if first[i] != again[i] {
			t.Errorf("%+v, then %+v", first[i], again[i])
		}
		if f := first[i]; f.Mean.Mean < 30 || f.Handshakes.Mean <= 0 || f.Handshakes.Mean > 1 || f.Crossed.Mean > 1000 {
			t.Errorf("%+v", f)
		}
	}
	if needed, ahead := first[0], first[1]; ahead.Peak.Low <= needed.Peak.High || ahead.Open.Low <= needed.Open.High {
		t.Errorf("needed %+v, ahead %+v", needed, ahead)
	}
}

// Servers may close idle connections earlier than the settings say, and a request sent at that moment is lost. Agents that learn the
// actual timeout must lose fewer requests than agents that rely on the settings.
func TestLearningTheIdleTimeoutLosesFewerRequests(t *testing.T) {
	spec := smallFleet(t, "closes = \"3s\"\nrtt = \"20ms\"\n[[fleet_arm]]\nname = \"learns\"\n[[fleet_arm]]\nname = \"trusts\"\n[fleet_arm.connections]\nidle_least = \"10s\"\nsure_part = 1.0\n")
	spec.Length = config.Duration(300 * time.Second) // in 30 s a variant loses at most one such request
	figures, err := RunFleetModel(&spec, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if figures[0].Crossed.High >= figures[1].Crossed.Low {
		t.Errorf("learns %+v, trusts %+v", figures[0].Crossed, figures[1].Crossed)
	}
}

// Each wrong key or value in the file of a fleet model must give an error with its place and the allowed values.
func TestFleetSpecErrorsNameFileLineAndKey(t *testing.T) {
	for text, want := range map[string]string{
		"agents = 0\n[[fleet_arm]]\nname = \"a\"": "f.toml:1: agents: must be from 1 to 20000",
		"agents = 3": "a fleet model needs at least one [[fleet_arm]]",
		"[[fleet_arm]]\nname = \"a\"\n[fleet_arm.connections]\nreuse = \"x\"":           `"x" is not newest, oldest or fewest`,
		"[[fleet_arm]]\nname = \"a\"\n[fleet_arm.connections]\npool = 1":                "connections.pool: no such key",
		"rate = 1e9\n[[fleet_arm]]\nname = \"a\"":                                       "f.toml:1: rate: ",
		"subset = 21\n[[fleet_arm]]\nname = \"a\"":                                      "f.toml:1: subset: ",
		"cold_from = 0.0\n[[fleet_arm]]\nname = \"a\"":                                  "f.toml:1: cold_from: ",
		"[[fleet_arm]]\nname = \"a\"\n[fleet_arm.connections]\nsuspect_within = \"0s\"": "connections.suspect_within: must be from 1ms",
	} {
		spec := DefaultFleet()
		if err := config.TOML("f.toml", []byte(text), &spec); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}
