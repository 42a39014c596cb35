package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ryeweir/internal/experiment"
)

// output collects what a command prints. It can be read while the command runs.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// until waits up to 30 s for the output to contain a text.
func (o *output) until(t *testing.T, text string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if strings.Contains(o.String(), text) {
			return
		}
	}
	t.Fatalf("%q was not printed within 30 s; the output is:\n%s", text, o.String())
}

// The demo runs real agent processes on real sockets: its counts must add up, no request may be lost or executed twice, and the output
// must name the verdict, the faults and the classes.
func TestDemo(t *testing.T) {
	t.Setenv("RYEWEIR_AS_PROGRAM", "1")
	file := filepath.Join(t.TempDir(), "figures.json")
	var out output
	run(t.Context(), []string{"demo", "--seconds", "3", "--json", file}, &out, &out)
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	var o experiment.Outcome
	if err := json.Unmarshal(text, &o); err != nil {
		t.Fatal(err)
	}
	if a := o.Account; !a.Balanced() || a.Completed < 300 || a.Lost+a.Duplicates+a.UnknownRequests > 0 || o.CPU <= 0 {
		t.Errorf("wrong account: %+v\n%s", a, out.String())
	}
	for _, want := range []string{"verdict:", "node-02: drain", "place-order"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in the output:\n%s", want, out.String())
		}
	}
}

// Ctrl-C must end the demo in order: it prints the figures up to then, and a verdict.
func TestDemoInterrupted(t *testing.T) {
	t.Setenv("RYEWEIR_AS_PROGRAM", "1")
	ctx, cancel := context.WithCancel(t.Context())
	var out output
	done := make(chan int)
	go func() { done <- run(ctx, []string{"demo", "--seconds", "60"}, &out, &out) }()
	out.until(t, "1s")
	cancel()
	<-done
	if got := out.String(); !strings.Contains(got, "interrupted: these are the figures up to then") || !strings.Contains(got, "verdict:") {
		t.Error(got)
	}
}

// A user can start the emulated environment, an agent and the load separately, as the documentation describes: the load's requests must
// be completed.
func TestWorldAndLoad(t *testing.T) {
	t.Setenv("RYEWEIR_AS_PROGRAM", "1")
	dir := t.TempDir()
	file := filepath.Join(dir, "world.toml")
	if err := os.WriteFile(file, []byte("dir = \""+dir+"\"\n[day]\nagents = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	var world, agent, load output
	all.Go(func() { run(ctx, []string{"world", file}, &world, &world) })
	world.until(t, "nodes are listening")
	text, err := os.ReadFile(filepath.Join(dir, "agent-0.json"))
	if err != nil {
		t.Fatal(err)
	}
	var cfg struct{ Listen string }
	if err := json.Unmarshal(text, &cfg); err != nil {
		t.Fatal(err)
	}
	program := exec.CommandContext(ctx, os.Args[0], "agent") // in a process of its own, because it sets limits of the whole process
	program.Env, program.Stderr = append(os.Environ(), "PROXY_CONFIG="+filepath.Join(dir, "agent-0.json")), &agent
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	all.Go(func() { program.Wait() })
	agent.until(t, "listening")
	file = filepath.Join(dir, "load.toml")
	if err := os.WriteFile(file, []byte("targets = [\""+cfg.Listen+"\"]\n[day]\nlength = \"1s\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if code := run(ctx, []string{"load", file}, &load, &load); code != 0 || !strings.Contains(load.String(), "completed 2") {
		t.Errorf("exit code %d\n%s", code, load.String())
	}
}
