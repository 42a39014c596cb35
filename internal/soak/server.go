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

// server is one backend of the fleet: its current process and what all its processes recorded.
type server struct {
	mu         sync.Mutex
	ids        []string // of its processes; the current one is the last
	child      *child
	instance   int // number of the current process, from 1
	addr       string
	attempts   []Attempt
	slowStarts []time.Duration // when each process started; 0 for one that was not in slow start
	paused     []span          // from SIGSTOP to SIGCONT
}

// currentID returns the ID in the endpoint list.
func (s *server) currentID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[len(s.ids)-1]
}

// rename gives the next process an ID of its own.
func (s *server) rename() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids = append(s.ids, fmt.Sprintf("%sr%d", s.ids[0], len(s.ids)))
}

// start starts the next process of the backend at a listening address, and sets the address that it got, which the process prints first.
func (s *server) start(program string, seed uint64, listen string) error {
	s.mu.Lock()
	s.instance++
	instance, id := s.instance, s.ids[len(s.ids)-1]
	s.mu.Unlock()
	cmd := exec.Command(program, "soak-backend", "--id", id, "--listen", listen, "--instance", strconv.Itoa(instance), "--seed", strconv.FormatUint(seed, 10))
	readEnd, writeEnd, err := os.Pipe() // not StdoutPipe, which Wait may close before the last lines are read
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
		return fmt.Errorf("backend %s did not print its address: %w", id, err)
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

// readAttempts collects the attempts that a process writes, until its output ends.
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
