package experiment

import (
	"io"
	"strings"
	"testing"
	"time"

	"ryeweir/internal/config"
)

func smallFleet(t *testing.T, more string) FleetSpec {
	t.Helper()
	spec := DefaultFleet()
	text := "agents = 30\nservers = 6\nsubset = 4\nrate = 400.0\nlength = \"8s\"\nstart = \"2s\"\nrepeats = 3\n" + more
	if err := config.TOML("fleet.toml", []byte(text), &spec); err != nil {
		t.Fatal(err)
	}
	return spec
}

// The same file gives the same figures, and an agent that keeps a connection to each server whatever comes opens more of them
// at a server's start than one that opens what it needs.
func TestFleet(t *testing.T) {
	spec := smallFleet(t, "[[fleet_arm]]\nname = \"needed\"\n[[fleet_arm]]\nname = \"kept\"\n[fleet_arm.connections]\nahead_per_second = 1000000.0\nahead_keep = 4\n")
	first, err := Fleet(&spec, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Fleet(&spec, io.Discard)
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
	if needed, kept := first[0], first[1]; kept.Peak.Low <= needed.Peak.High || kept.Open.Low <= needed.Open.High {
		t.Errorf("needed %+v, kept %+v", needed, kept)
	}
}

// Servers that close earlier than the settings say lose fewer requests to an agent that learns.
func TestFleetLearns(t *testing.T) {
	spec := smallFleet(t, "closes = \"3s\"\nrtt = \"20ms\"\n[[fleet_arm]]\nname = \"learns\"\n[[fleet_arm]]\nname = \"trusts\"\n[fleet_arm.connections]\nidle_least = \"10s\"\nsure_part = 1.0\n")
	spec.Length = config.Duration(300 * time.Second) // in 30 s an arm has one such close or none
	f, err := Fleet(&spec, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if f[0].Crossed.High >= f[1].Crossed.Low {
		t.Errorf("learns %+v, trusts %+v", f[0].Crossed, f[1].Crossed)
	}
}

func TestFleetErrors(t *testing.T) {
	for text, want := range map[string]string{
		"agents = 0\n[[fleet_arm]]\nname = \"a\"": "f.toml:1: agents: must be from 1 to 20000",
		"agents = 3": "a model needs a [[fleet_arm]]",
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
