package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ryeweir/internal/testkit"
)

// startProgram starts an agent's process that uses the given discovery. The log goes to a pipe, of which log is the reading end.
// startProgram returns when the agent is ready at addr.
func startProgram(t *testing.T, d *testkit.Discovery, level string) (program *exec.Cmd, log *os.File, addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = l.Addr().String()
	l.Close()
	text := strings.Replace(string(testkit.ConfigText(d.Addr().String(), "null")), `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, addr), 1)
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log, logWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	program = exec.Command(os.Args[0], "agent", "--log-level", level)
	program.Env = append(os.Environ(), "RYEWEIR_AS_PROGRAM=1", "PROXY_CONFIG="+file, "TMPDIR="+t.TempDir())
	program.Stdout, program.Stderr = logWriter, logWriter
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	logWriter.Close()
	t.Cleanup(func() { program.Process.Kill(); program.Wait(); log.Close() })
	lines := bufio.NewScanner(log)
	for lines.Scan() && !strings.Contains(lines.Text(), "listening") {
	}
	testkit.Eventually(t, "the agent is ready", func() bool { return statusOf("http://"+addr+"/ready", "") == http.StatusOK })
	return program, log, addr
}

// statusOf sends a request with an ID and returns the status of the response, or 0 if none came within 3 s.
func statusOf(url, id string) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("X-Tenant-Id", "glasgow-airport")
	r.Header.Set("X-Timeout", "2000m")
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// An agent must go on serving, and end at SIGTERM, when its log is no longer read: because the collector hangs and the pipe is full, or
// because the collector has exited and the pipe is broken.
func TestServesWithoutALogReader(t *testing.T) {
	for name, stopReading := range map[string]func(*os.File){
		"hangs": func(*os.File) {},
		"died":  func(log *os.File) { log.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := testkit.NewBackend(t, testkit.RespondWith(testkit.OKResponse))
			d := testkit.NewDiscovery(t, 1, testkit.EndpointJSON("b", b.Addr().String(), "Ready", 0))
			program, log, addr := startProgram(t, d, "debug")
			stopReading(log)
			for n := range 400 { // these write some hundred KB of log, more than a pipe's buffer holds
				if got := statusOf("http://"+addr+"/form-check", fmt.Sprintf("%016x", n)); got != http.StatusOK {
					t.Fatalf("request %d: status %d", n, got)
				}
			}
			program.Process.Signal(syscall.SIGTERM)
			ended := make(chan error, 1)
			go func() { ended <- program.Wait() }()
			select {
			case err := <-ended:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(testkit.WaitTimeout):
				t.Errorf("the agent did not end within %v after SIGTERM", testkit.WaitTimeout)
			}
		})
	}
}
