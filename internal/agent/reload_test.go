package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ryeweir/internal/config/operator"
	"ryeweir/internal/config/platform"
	"ryeweir/internal/discovery"
	"ryeweir/internal/testkit"
)

// reloadableAgent is an agent whose configuration file a test can replace and have reloaded.
type reloadableAgent struct {
	*testAgent
	t    *testing.T
	file string
	hup  chan os.Signal // triggers a reload
	log  testkit.LockedBuffer
}

// startReloadableAgent runs an agent with a configuration file until the test ends.
func startReloadableAgent(t *testing.T, discovery string) *reloadableAgent {
	t.Helper()
	a := &reloadableAgent{testAgent: &testAgent{done: make(chan error, 1)}, t: t, file: filepath.Join(t.TempDir(), "config.json"),
		hup: make(chan os.Signal, 1)}
	a.write(testkit.ConfigText(discovery, "null"))
	// The environment of a process does not change: it keeps the address of the first discovery.
	env := map[string]string{"PROXY_CONFIG": a.file, "PROXY_DISCOVERY": discovery}
	getenv := func(name string) string { return env[name] }
	cfg, err := platform.Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	l := testkit.Listen(t)
	a.addr, a.url = l.Addr().String(), "http://"+l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	reloads := ReloadConfig{Signals: a.hup, LoadPlatform: func() (platform.Config, error) { return platform.Reload(getenv) }}
	go func() {
		a.done <- Run(ctx, cfg, operator.Default(), reloads, Environment{Clients: l}, slog.New(slog.NewTextHandler(&a.log, nil)))
	}()
	t.Cleanup(func() { stop(); <-a.done })
	testkit.Eventually(t, "the agent is ready", func() bool { return a.status(t, "/ready") == http.StatusOK })
	return a
}

// write replaces the configuration file without a reload.
func (a *reloadableAgent) write(text []byte) {
	a.t.Helper()
	if err := os.WriteFile(a.file, text, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// reload replaces the configuration file and signals the agent to reload it.
func (a *reloadableAgent) reload(text []byte) {
	a.t.Helper()
	a.write(text)
	a.hup <- os.Interrupt
}

// awaitAnswer sends requests until an answer has the wanted body. It fails the test if a request is not served.
func (a *reloadableAgent) awaitAnswer(want string) {
	a.t.Helper()
	testkit.Eventually(a.t, want+" is the body of an answer", func() bool {
		got := send(a.t, a.newRequest(a.t, http.MethodGet, "/form-check", ""))
		if got.status != http.StatusOK {
			a.t.Fatalf("request not served: %+v", got)
		}
		return got.body == want
	})
}

// A reload switches the agent to another discovery, although the environment still names the first one and the list versions of the new
// one are lower. The first discovery no longer responds, and the open watch on it must not delay the switch.
func TestReloadFollowsNewDiscoveryAddress(t *testing.T) {
	t.Parallel()
	first := testkit.NewBackend(t, testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nold!"))
	second := testkit.NewBackend(t, testkit.RespondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnew!"))
	old := testkit.NewDiscovery(t, 41, testkit.EndpointJSON("s-1", first.Addr().String(), "Ready", 0))
	a := startReloadableAgent(t, old.Addr().String())
	a.awaitAnswer("old!")
	old.SetSilent(true)
	fresh := testkit.NewDiscovery(t, 3, testkit.EndpointJSON("s-2", second.Addr().String(), "Ready", 0))
	began := time.Now()
	a.reload(testkit.ConfigText(fresh.Addr().String(), "null"))
	a.awaitAnswer("new!")
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("the new discovery's list was in effect after %v", took)
	}
	a.reload(testkit.ConfigText(old.Addr().String(), "null")) // back to the first, which does not respond: the last list stays in effect
	testkit.Eventually(t, "the first discovery is requested again", func() bool { fullLists, _ := old.Calls(); return fullLists == 2 })
	a.awaitAnswer("new!")
}

// A reload reads a file that can't be used. The error is logged in one line, and the agent continues with the configuration in effect.
func TestInvalidReloadChangesNothing(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
	d := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0))
	a := startReloadableAgent(t, d.Addr().String())
	for i, text := range []string{"", "{", strings.Replace(string(testkit.ConfigText("127.0.0.1:1", "null")), "by_key", "by_luck", 1)} {
		a.reload([]byte(text))
		testkit.Eventually(t, "the error is logged", func() bool { return a.log.Count("not reloaded") == i+1 })
	}
	a.awaitAnswer("fine")
	d.Set(2, true, testkit.EndpointJSON("s-1", b.Addr().String(), "Ready", 0), testkit.EndpointJSON("s-2", b.Addr().String(), "Ready", 0))
	testkit.Eventually(t, "lists of the discovery in effect are still applied", func() bool { return a.log.Count("version=2") == 1 })
}

// The reloader ends when its context does, also if there was no signal.
func TestReloaderEndsWithItsContext(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	loadNothing := func() (platform.Config, error) { return platform.Config{}, errors.New("loaded without a signal") }
	r := reloader{config: ReloadConfig{LoadPlatform: loadNothing}, log: slog.New(slog.DiscardHandler)}
	go func() {
		r.run(ctx)
		close(done)
	}()
	stop()
	select {
	case <-done:
	case <-time.After(testkit.WaitTimeout):
		t.Fatal("the reloader has not ended")
	}
}

// A reload reads the operators' file too. Keys that can change without a restart take effect at once, the log names changed keys that
// need a restart, and a file that can't be used changes nothing.
func TestReloadAppliesOperatorsKeysThatNeedNoRestart(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "operator.toml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("[connections]\nper_server = 3\n")
	operators, err := operator.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := platform.Parse(testkit.ConfigText("127.0.0.1:1", "null"), testkit.NoEnv)
	if err != nil {
		t.Fatal(err)
	}
	var log testkit.LockedBuffer
	var applied []operator.File
	hangups := make(chan os.Signal)
	r := reloader{
		config: ReloadConfig{
			Signals:      hangups,
			LoadPlatform: func() (platform.Config, error) { return cfg, nil },
			LoadOperator: func() (operator.File, error) { return operator.Load(file) },
		},
		site:      cfg.Site,
		operators: operators,
		discovery: discovery.New(discovery.Config{Addr: "127.0.0.1:1"}),
		apply: func(fresh operator.File) error {
			applied = append(applied, fresh)
			if fresh.Connections.MaxPerEndpoint == 9 {
				return errors.New("too many")
			}
			return nil
		},
		log: slog.New(slog.NewTextHandler(&log, nil)),
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.run(ctx)
	}()
	for _, step := range []struct{ text, logged string }{
		{"[connections]\nper_server = 4\n", "operators' file reloaded"},
		{"[connections]\nper_server = 4\nplaces = 50\n[drain]\nlongest = \"9s\"\n", `keys="[connections.places drain.longest]"`},
		{"[connections]\nper_server = -4\n", "operator.toml:2: connections.per_server: must be from 0 to 65536"},
		{"[connections]\nper_server = 9\n", "too many"},
	} {
		write(step.text)
		hangups <- os.Interrupt
		testkit.Eventually(t, step.logged, func() bool { return log.Count(step.logged) > 0 })
	}
	stop()
	<-done
	if len(applied) != 3 || applied[0].Connections.MaxPerEndpoint != 4 || applied[1].Connections.MaxConnections != 50 {
		t.Errorf("applied %+v", applied)
	}
}
