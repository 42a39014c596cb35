package operator

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"ryeweir/internal/pool"
)

// deploy/operator.toml lists all defaults for operators. It must decode to the same settings as no file.
func TestDeliveredFileEqualsTheDefaults(t *testing.T) {
	data, err := os.ReadFile("../../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse("operator.toml", data)
	if err != nil || !reflect.DeepEqual(f, Default()) {
		t.Errorf("%+v, %v", f, err)
	}
	base := pool.DefaultSettings(100)
	if got := f.Connections.Settings(base); got != func() pool.Settings { s := base; s.AgeJitter = 0.2; return s }() {
		t.Errorf("connection settings %+v, want %+v", got, base)
	}
	if got, err := Load(""); err != nil || !reflect.DeepEqual(got, Default()) {
		t.Errorf("no file: %+v, %v", got, err)
	}
}

// Errors contain the line and key, so that operators can find them in the file.
func TestErrorsContainFileLineAndKey(t *testing.T) {
	for text, want := range map[string]string{
		"[connections]\nreuse = \"best\"":                  "op.toml:2: connections.reuse: \"best\" is not newest, oldest or fewest",
		"[connections]\n\nper_server = -1":                 "op.toml:3: connections.per_server: must be from 0 to 65536",
		"[connections]\nidle_part = 0.0":                   "op.toml:2: connections.idle_part: must be above 0",
		"[connections]\nidle_part = nan":                   "op.toml:2: connections.idle_part: must be from 0 to 1",
		"[connections]\nwait = \"soon\"":                   "op.toml:2: connections.wait: ",
		"[connections]\npool = 7":                          "op.toml:2: connections.pool: no such key",
		"[connections]\nsocket_buffer_bytes = 17":          "op.toml:2: connections.socket_buffer_bytes: must be 0, or from 4096 to 16777216",
		"[drain]\nlongest = \"-1s\"":                       "op.toml:2: drain.longest: must be from 0s to 24h0m0s",
		"[connections]\nsuspect = \"shun\"\nmax_uses = -3": "op.toml:3: connections.max_uses: must be from 0 to 65536",
	} {
		_, err := Parse("op.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// A file overrides the settings that the agent derives, and RestartRequired returns the keys that need a restart.
func TestFileOverridesDerivedSettings(t *testing.T) {
	f, err := Parse("op.toml", []byte("[connections]\nplaces = 10\nhandshakes_per_server = 3\nreuse = \"oldest\"\nsuspect = \"close\"\nwait = \"40ms\""))
	if err != nil {
		t.Fatal(err)
	}
	s := f.Connections.Settings(pool.DefaultSettings(100))
	if s.MaxConnections != 10 || s.MaxPerEndpoint != 10 || s.MaxHandshakesPerEndpoint != 3 || s.ReuseOrder != pool.LeastRecentlyUsed || !s.CloseSuspect || s.AcquireTimeout.Milliseconds() != 40 || s.Validate() != nil {
		t.Errorf("%+v", s)
	}
	old := Default()
	if keys := old.RestartRequired(f); len(keys) != 1 || keys[0] != "connections.places" {
		t.Errorf("keys that need a restart: %v, want connections.places", keys)
	}
}
