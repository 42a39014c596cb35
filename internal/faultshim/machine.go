package faultshim

import (
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Point is a place where system calls can be made to fail.
type Point string

// The points.
const (
	Accept      Point = "accept"
	Connect     Point = "connect"
	ClientRead  Point = "clientread"
	ServerRead  Point = "serverread"
	ServerWrite Point = "serverwrite"
)

// PlantedFault is a deliberate bug of the agent, which shows that the soak notices it.
type PlantedFault string

// The planted faults.
const (
	DropsRequests    PlantedFault = "drop"      // a client's connection is closed with a request that was read
	Duplicates       PlantedFault = "duplicate" // a request is sent twice
	IgnoresDiscovery PlantedFault = "deaf"      // what discovery sends is not read
	WrongAnswers     PlantedFault = "wrong"     // a byte of a response is changed
	DelaysAttempts   PlantedFault = "late"      // a request is written half a second after it was decided on
	OverstatesTime   PlantedFault = "overstate" // a server gets ten times the timeout
	IgnoresClient    PlantedFault = "mute"      // a client's connection is not read any more
)

const (
	plantedAttemptDelay = 500 * time.Millisecond // of DelaysAttempts
	maxShortRead        = 64                     // bytes
)

// Machine fails on command. New makes one. It is safe for concurrent use.
type Machine struct {
	mu             sync.Mutex
	rng            *rand.Rand
	failures       map[Point]*pendingFailure
	planted        map[PlantedFault]float64 // probabilities
	wallStep       time.Duration
	holdDuration   time.Duration // of each write that is held
	holdsRemaining int
	shortUntil     time.Time
	diskErr        error
}

// pendingFailure is the failure of the next calls at a point.
type pendingFailure struct {
	errno     syscall.Errno
	remaining int
}

// New returns a machine on which nothing fails yet.
func New(seed uint64) *Machine {
	return &Machine{
		rng:      rand.New(rand.NewPCG(seed, 9)),
		failures: map[Point]*pendingFailure{},
		planted:  map[PlantedFault]float64{},
	}
}

// Now returns the machine's wall clock.
func (m *Machine) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Add(m.wallStep)
}

// nextFailure takes the next failure at a point; nil where the call is to succeed. The error is an *net.OpError, as of the real
// system call.
func (m *Machine) nextFailure(at Point, call string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	failure := m.failures[at]
	if failure == nil || failure.remaining == 0 {
		return nil
	}
	failure.remaining--
	return &net.OpError{Op: string(at), Net: "tcp", Err: os.NewSyscallError(call, failure.errno)}
}

// plantedFaultOccurs draws whether a planted fault occurs now.
func (m *Machine) plantedFaultOccurs(fault PlantedFault) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	probability := m.planted[fault]
	return probability > 0 && m.rng.Float64() < probability
}

// nextWriteDelay returns by how much the next write to a server is delayed.
func (m *Machine) nextWriteDelay() time.Duration {
	if m.plantedFaultOccurs(DelaysAttempts) {
		return plantedAttemptDelay
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holdsRemaining == 0 {
		return 0
	}
	m.holdsRemaining--
	return m.holdDuration
}

// shortBuffer returns the part of a buffer that a read may fill. In short reads it has from 1 to maxShortRead bytes: with one byte
// each time a long body would keep a process under the race detector busy for most of a second.
func (m *Machine) shortBuffer(p []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(p) <= 1 || !time.Now().Before(m.shortUntil) {
		return p
	}
	return p[:min(len(p), 1+m.rng.IntN(maxShortRead))]
}

// Replace replaces a file atomically, as the agent's storage does, or fails on command with an *os.PathError: then the file is as it
// was, and half of the new one is left beside it.
func (m *Machine) Replace(path string, data []byte) error {
	m.mu.Lock()
	failure := m.diskErr
	m.mu.Unlock()
	temporary := path + ".shim"
	if failure != nil {
		os.WriteFile(temporary, data[:len(data)/2], 0o600)
		return &os.PathError{Op: "write", Path: temporary, Err: failure}
	}
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
