package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the program instead of the tests if RYEWEIR_AS_PROGRAM is set. Tests start the test binary in this way, to have
// the program in a process of its own that gets real signals.
func TestMain(m *testing.M) {
	if os.Getenv("RYEWEIR_AS_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// platformJSON is a valid configuration of the platform. Nothing listens at its discovery address.
const platformJSON = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":256},"settings":{"Balancers":1,"Me":0,"TickNs":5000000,
 "WeightKind":"silent","Discovery":"automatic","Zones":["z"],"Report":{"Fields":["util"],"Via":"piggyback"},
 "Ceilings":{"ConnIdleNs":15000000000,"ConnectTimeoutNs":5000000000,"MostHeld":10,"MostTries":2},
 "Classes":[{"AimNs":600000000,"DeadlineNs":2000000000,"Effect":"repeatable","Group":"all","Name":"c","Worth":2}]}}`

// SIGHUP, which ends a process that does not handle it, must reload the configuration, and SIGTERM must drain the agent, which then exits
// with 0. A second SIGTERM or a SIGHUP during the drain must not cut the drain short.
func TestSignals(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(platformJSON), 0o600); err != nil {
		t.Fatal(err)
	}
	program := exec.Command(os.Args[0], "agent")
	program.Env = append(os.Environ(), "RYEWEIR_AS_PROGRAM=1", "PROXY_CONFIG="+file)
	log, err := program.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	giveUp := time.AfterFunc(20*time.Second, func() { program.Process.Kill() })
	defer giveUp.Stop()
	lines := bufio.NewScanner(log)
	waitFor := func(text string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return
			}
		}
		t.Fatalf("the log ended without a line that contains %q", text)
	}
	waitFor("listening")
	for range 2 {
		program.Process.Signal(syscall.SIGHUP)
		waitFor("configuration reloaded")
	}
	program.Process.Signal(syscall.SIGTERM)
	waitFor("draining")
	program.Process.Signal(syscall.SIGTERM) // during the drain, followed by a reload
	program.Process.Signal(syscall.SIGHUP)
	waitFor("configuration reloaded")
	waitFor("drained")
	for lines.Scan() {
	}
	if err := program.Wait(); err != nil {
		t.Error(err)
	}
}

// The exit code must be 0 for success, 1 for a failure and 2 for a usage error, and the output must name the reason.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	good := write("good.json", platformJSON)
	for _, c := range []struct {
		args   string
		code   int
		output string // a part of the output
	}{
		{"version", 0, "ryeweir"},
		{"--help", 0, "ryeweir demo"},
		{"completion bash", 0, "complete"},
		{"nonsense", 2, "nonsense"},
		{"version more", 2, "unknown"},
		{"--no-such-flag", 2, "no-such-flag"},
		{"agent --log-level loud", 2, "loud"},
		{"agent --log-format xml", 2, "xml"},
		{"agent", 1, "PROXY_CONFIG is not set"},
		{"check", 2, "1 arg"},
		{"check " + good, 0, "class c: safe to repeat"},
		{"check " + write("cores.json", strings.Replace(platformJSON, `"cores":1.0`, `"cores":"one"`, 1)), 1, "cores.json:2: limits.cores"},
		{"check " + write("seed.json", strings.Replace(platformJSON, "8c1f30d27a5be964", "xyz", 1)), 1, "seed.json:1: seed"},
		{"check " + write("effect.json", strings.Replace(platformJSON, "repeatable", "maybe", 1)), 1, "effect.json:2: settings"},
		{"check " + write("balancer.toml", "build = \"x\"\nrnu = \"y\"\n"), 1, "balancer.toml:2: rnu: no such key"},
		{"check ../../deploy/balancer.toml", 0, "ryeweir agent"},
		{"check ../../deploy/operator.toml", 0, "connection reuse: newest first"},
		{"check ../../deploy/experiments/fleet-start.toml", 0, "2000 agents and 20 servers"},
		{"check " + write("mine.toml", "[connections]\nreuse = \"best\"\n"), 1, "mine.toml:2: connections.reuse"},
		{"agent --operator " + write("bad.toml", "[connections]\nplace = 3\n"), 1, "bad.toml:2: connections.place: no such key"},
		{"fleet", 2, "1 arg"},
		{"check " + write("other.toml", "a = 1\n"), 1, "neither"},
		{"check " + filepath.Join(dir, "none.json"), 1, "no such file"},
	} {
		var out strings.Builder
		t.Setenv("PROXY_CONFIG", "")
		if code := run(t.Context(), strings.Fields(c.args), &out, &out); code != c.code || !strings.Contains(out.String(), c.output) {
			t.Errorf("%s: exit code %d, want %d with %q in the output: %s", c.args, code, c.code, c.output, out.String())
		}
	}
}
