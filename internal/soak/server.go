package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a backend with its processes.
type server struct {
	id         string
	mu         sync.Mutex
	child      *child
	instance   int
	addr       string
	attempts   []Attempt
	slowStarts []time.Duration // of each process that is in slow start, by instance
	paused     []span
}

// start starts the next process of the backend and returns its address.
func (s *server) start(program string, seed uint64) error {
	s.mu.Lock()
	s.instance++
	instance := s.instance
	s.mu.Unlock()
	cmd := exec.Command(program, "soak-backend", "--id", s.id, "--instance", strconv.Itoa(instance), "--seed", strconv.FormatUint(seed, 10))
	readEnd, writeEnd, err := os.Pipe() // not StdoutPipe: Wait would close it before the last lines were read
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = writeEnd, os.Stderr
	process, err := launch(cmd)
	writeEnd.Close()
	if err != nil {
		return err
	}
	lines := bufio.NewReaderSize(readEnd, 1<<16)
	addr, err := lines.ReadString('\n')
	if err != nil {
		return fmt.Errorf("backend %s said no address: %w", s.id, err)
	}
	s.mu.Lock()
	s.child, s.addr = process, strings.TrimSpace(addr)
	s.mu.Unlock()
	go func() {
		defer readEnd.Close()
		s.readAttempts(lines)
	}()
	return nil
}

// readAttempts collects the attempts that the process writes.
func (s *server) readAttempts(from io.Reader) {
	decoder := json.NewDecoder(from)
	for {
		var attempt Attempt
		if err := decoder.Decode(&attempt); err != nil {
			return
		}
		s.mu.Lock()
		s.attempts = append(s.attempts, attempt)
		s.mu.Unlock()
	}
}
