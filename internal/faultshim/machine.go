package faultshim

import (
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Point is a kind of system call that can be made to fail. Its value is the name of the command that does so.
type Point string

// The system calls that can be made to fail.
const (
	Accept      Point = "accept"      // accept of a client's connection
	Connect     Point = "connect"     // connect to a server
	ClientRead  Point = "clientread"  // read from a client's connection
	ServerRead  Point = "serverread"  // read from a server's connection
	ServerWrite Point = "serverwrite" // write to a server's connection
)

// PlantedFault is a simulated bug of the agent, which the soak test (internal/soak) must detect. Planting it tests
// the soak test's checks. Its value is its name in
// the plant command.
type PlantedFault string

// The planted faults.
const (
	DropsRequests    PlantedFault = "drop"      // a client's connection is closed after bytes of a request were read from it
	Duplicates       PlantedFault = "duplicate" // a request is sent to the server a second time
	IgnoresDiscovery PlantedFault = "deaf"      // reads from discovery return only after ignoreDiscoveryFor
	WrongAnswers     PlantedFault = "wrong"     // a bit of a server's response is changed
	DelaysAttempts   PlantedFault = "late"      // a write to a server takes place plantedAttemptDelay after the agent requested it
	OverstatesTime   PlantedFault = "overstate" // a server gets ten times the timeout that the agent gave
	IgnoresClient    PlantedFault = "mute"      // from a read that is drawn at random on, what a client sends on the connection is discarded
)

const (
	plantedAttemptDelay = 500 * time.Millisecond // by which DelaysAttempts delays a write to a server
	maxShortRead        = 64                     // upper limit of the length of a short read, in bytes
)

// Machine stands in for the machine that an agent runs on: its network, wall clock and storage fail on command. New makes one. Its methods
// are safe for concurrent use.
type Machine struct {
	mu             sync.Mutex
	rng            *rand.Rand
	failures       map[Point]*pendingFailure
	planted        map[PlantedFault]float64 // probability of each
	clockOffset    time.Duration            // of the wall clock, against the real one
	holdDuration   time.Duration            // by which the hold command delays each of the next writes to servers
	holdsRemaining int                      // number of writes to servers that are yet to be delayed by holdDuration
	shortUntil     time.Time                // reads are short until then
	diskErr        error                    // returned by writes to storage; nil if they succeed
}

// pendingFailure is the error with which the next remaining calls at a point fail.
type pendingFailure struct {
	errno     syscall.Errno
	remaining int
}

// New returns a machine on which nothing fails yet. The seed determines when planted faults occur and how short short reads are.
func New(seed uint64) *Machine {
	return &Machine{
		rng:      rand.New(rand.NewPCG(seed, 9)), // a stream of its own, apart from other generators with this seed
		failures: map[Point]*pendingFailure{},
		planted:  map[PlantedFault]float64{},
	}
}

// Now returns the time of the machine's wall clock.
func (m *Machine) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Add(m.clockOffset)
}

// nextFailure returns the error with which the next call at a point fails, or nil if the call is to succeed, and counts it as used. The
// error is a *net.OpError, like that of a real system call with the name call.
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

// plantedFaultOccurs draws at random whether a planted fault occurs now.
func (m *Machine) plantedFaultOccurs(fault PlantedFault) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	probability := m.planted[fault]
	return probability > 0 && m.rng.Float64() < probability
}

// nextWriteDelay returns the delay of the next write to a server, and counts down the writes that the hold command delays.
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

// shortBuffer returns the part of a buffer that a read may fill. While reads are short it has a random length from 1 to maxShortRead
// bytes, not always 1: reading a long body byte by byte would keep a process under the race detector busy for most of a second.
func (m *Machine) shortBuffer(p []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(p) <= 1 || !time.Now().Before(m.shortUntil) {
		return p
	}
	return p[:min(len(p), 1+m.rng.IntN(maxShortRead))]
}

// Replace replaces a file's content atomically, as the agent's storage does. If the disk is to fail it returns an *os.PathError; the file
// is then unchanged, and a temporary file with half of the new content is left beside it.
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
