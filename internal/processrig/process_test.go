package processrig

import (
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// slowAgentAddr is the environment variable with the address for clients of a slowAgent. Where it is set, the test program is one.
const slowAgentAddr = "PROCESSRIG_SLOW_AGENT_ADDR"

func TestMain(m *testing.M) {
	if addr := os.Getenv(slowAgentAddr); addr != "" {
		runSlowAgent(addr)
		return
	}
	os.Exit(m.Run())
}

// runSlowAgent handles signals and accepts clients only some time after its start, and ends on SIGTERM.
func runSlowAgent(addr string) {
	time.Sleep(500 * time.Millisecond)
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	go http.ListenAndServe(addr, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	<-terminated
}

// Guards against a run that fails because its end meets an agent that has just been restarted: SIGTERM ends a process that does not handle
// it yet.
func TestStopWaitsUntilTheProcessHandlesSignals(t *testing.T) {
	addr, err := FreePort(loopbackHost(), 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(slowAgentAddr, addr)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &Process{Addr: addr, command: []string{self}, filePrefix: filepath.Join(t.TempDir(), "agent")}
	for name, change := range map[string]func() error{
		"just started": func() error { return nil },
		"paused":       p.Pause,
	} {
		if err := p.start(true); err != nil {
			t.Fatal(err)
		}
		if err := change(); err != nil {
			t.Fatal(err)
		}
		if _, err := p.Stop(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
