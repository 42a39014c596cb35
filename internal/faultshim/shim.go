// Package faultshim is a machine that fails on command, for the fault soak: a listener whose accept fails, a dialer whose
// connect fails, connections whose reads and writes fail or are held up, a wall clock that is stepped, and storage that
// refuses to write. Go makes system calls and reads the clock without the C library, so that a preloaded library sees
// nothing of them: the agent is handed this machine in place of the real one, in a real process with real sockets.
//
// Commands come as lines of text on a reader, such as the process's standard input:
//
//	clock 1h             step the wall clock
//	accept ENOBUFS 3     the next three accepts fail so
//	connect EMFILE 2     the next two connects to servers fail so
//	clientread ECONNRESET 1
//	serverread ETIMEDOUT 1
//	serverwrite EHOSTUNREACH 1
//	hold 150ms 5         the next five writes to servers are held up for so long before they begin
//	shortread 1s         for so long every read brings a few bytes
//	disk ENOSPC          storage fails so until "disk ok"
//	plant duplicate 0.1  a deliberate fault of the agent itself, with that probability: see Fault
package faultshim

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Point is a place where calls can be made to fail.
type Point string

// The places.
const (
	Accept      Point = "accept"
	Connect     Point = "connect"
	ClientRead  Point = "clientread"
	ServerRead  Point = "serverread"
	ServerWrite Point = "serverwrite"
)

// PlantedFault is a deliberate fault of the agent, put in to show that the soak notices it.
type PlantedFault string

// The faults.
const (
	DropsRequests    PlantedFault = "drop"      // a client's connection closes with a request that was read
	Duplicates       PlantedFault = "duplicate" // a request goes out twice
	IgnoresDiscovery PlantedFault = "deaf"      // what discovery says is not heard
	WrongAnswers     PlantedFault = "wrong"     // a byte of an answer is changed
	DelaysAttempts   PlantedFault = "late"      // a request is written half a second after it was decided on
	OverstatesTime   PlantedFault = "overstate" // a server is told of ten times the time
	IgnoresClient    PlantedFault = "mute"      // a client's connection is not read any more
)

// Errors by their names, as commands give them.
var errorNames = map[string]syscall.Errno{"ENOBUFS": syscall.ENOBUFS, "ENOMEM": syscall.ENOMEM, "EPROTO": syscall.EPROTO,
	"ENETDOWN": syscall.ENETDOWN, "EHOSTUNREACH": syscall.EHOSTUNREACH, "ENETUNREACH": syscall.ENETUNREACH, "EPERM": syscall.EPERM,
	"EMFILE": syscall.EMFILE, "ENFILE": syscall.ENFILE, "EINTR": syscall.EINTR, "ETIMEDOUT": syscall.ETIMEDOUT,
	"ECONNABORTED": syscall.ECONNABORTED, "EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "ECONNRESET": syscall.ECONNRESET,
	"EPIPE": syscall.EPIPE, "ENOSPC": syscall.ENOSPC, "EIO": syscall.EIO, "EOPNOTSUPP": syscall.EOPNOTSUPP}

// pendingFailure are failures that wait for their calls.
type pendingFailure struct {
	errno     syscall.Errno
	remaining int
}

// Machine is what fails on command. The zero value is not ready: see New.
type Machine struct {
	mu             sync.Mutex
	rng            *rand.Rand
	failures       map[Point]*pendingFailure
	planted        map[PlantedFault]float64
	wallStep       time.Duration
	holdDuration   time.Duration
	holdsRemaining int
	shortUntil     time.Time
	diskErr        error
}

// New returns a machine on which nothing fails yet.
func New(seed uint64) *Machine {
	return &Machine{rng: rand.New(rand.NewPCG(seed, 9)), failures: map[Point]*pendingFailure{}, planted: map[PlantedFault]float64{}}
}

// Run carries out the commands that come, until there are no more. It tells of those it does not know.
func (m *Machine) Run(commands io.Reader, unknown func(line string, err error)) {
	lines := bufio.NewScanner(commands)
	for lines.Scan() {
		if err := m.Execute(lines.Text()); err != nil {
			unknown(lines.Text(), err)
		}
	}
}

// Execute carries out one command.
func (m *Machine) Execute(line string) error {
	words := strings.Fields(line)
	if len(words) < 2 {
		return fmt.Errorf("a command has a name and an argument, not %q", line)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch name, argument := words[0], words[1]; name {
	case "clock":
		return m.setDuration(&m.wallStep, argument)
	case "shortread":
		var lasts time.Duration
		err := m.setDuration(&lasts, argument)
		m.shortUntil = time.Now().Add(lasts)
		return err
	case "hold":
		if err := m.setDuration(&m.holdDuration, argument); err != nil {
			return err
		}
		return m.setCount(&m.holdsRemaining, words)
	case "disk":
		m.diskErr = nil
		if errno, known := errorNames[argument]; known {
			m.diskErr = errno
		}
		return nil
	case "plant":
		return m.plant(words)
	default:
		return m.failNext(Point(name), argument, words)
	}
}

func (m *Machine) setDuration(to *time.Duration, text string) (err error) {
	*to, err = time.ParseDuration(text)
	return err
}

func (m *Machine) setCount(to *int, words []string) (err error) {
	*to = 1
	if len(words) > 2 {
		*to, err = strconv.Atoi(words[2])
	}
	return err
}

func (m *Machine) plant(words []string) (err error) {
	if len(words) < 3 {
		return fmt.Errorf("a planted fault has a name and a probability, not %q", words)
	}
	m.planted[PlantedFault(words[1])], err = strconv.ParseFloat(words[2], 64)
	return err
}

func (m *Machine) failNext(at Point, name string, words []string) error {
	switch at {
	case Accept, Connect, ClientRead, ServerRead, ServerWrite:
	default:
		return fmt.Errorf("no command %q", at)
	}
	errno, known := errorNames[name]
	if !known {
		return fmt.Errorf("no error %q", name)
	}
	next := &pendingFailure{errno: errno}
	m.failures[at] = next
	return m.setCount(&next.remaining, words)
}

// Now is the time of day on this machine.
func (m *Machine) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Add(m.wallStep)
}

// nextFailure takes the next failure at a point, or returns nil.
func (m *Machine) nextFailure(at Point, call string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.failures[at]
	if next == nil || next.remaining == 0 {
		return nil
	}
	next.remaining--
	return &net.OpError{Op: string(at), Net: "tcp", Err: os.NewSyscallError(call, next.errno)}
}

// plantedFaultOccurs reports whether a planted fault happens now.
func (m *Machine) plantedFaultOccurs(f PlantedFault) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	probability := m.planted[f]
	return probability > 0 && m.rng.Float64() < probability
}

// nextWriteDelay is for how long the next write to a server is held up.
func (m *Machine) nextWriteDelay() time.Duration {
	if m.plantedFaultOccurs(DelaysAttempts) {
		return 500 * time.Millisecond
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holdsRemaining == 0 {
		return 0
	}
	m.holdsRemaining--
	return m.holdDuration
}

// maxShortRead is the most that a short read brings, in bytes.
const maxShortRead = 64

// shortBuffer is a part of a buffer to read into: now and then of one byte, as a rule of a few. With one each time a long body would
// take a process under the race detector most of a second, and show no more.
func (m *Machine) shortBuffer(p []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(p) <= 1 || !time.Now().Before(m.shortUntil) {
		return p
	}
	return p[:min(len(p), 1+m.rng.IntN(maxShortRead))]
}

// Listen makes the accepts of a listener, and the reads of its connections, fail on command.
func (m *Machine) Listen(l net.Listener) net.Listener { return listener{l, m} }

type listener struct {
	net.Listener
	machine *Machine
}

func (l listener) Accept() (net.Conn, error) {
	if err := l.machine.nextFailure(Accept, "accept4"); err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{conn{c.(*net.TCPConn), l.machine}, false}, nil
}

// conn is a connection with its socket, which the agent asks by NetConn.
type conn struct {
	*net.TCPConn
	machine *Machine
}

// NetConn is the socket below.
func (c conn) NetConn() net.Conn { return c.TCPConn }

type clientConn struct {
	conn
	ignored bool
}

func (c *clientConn) Read(p []byte) (int, error) {
	if err := c.machine.nextFailure(ClientRead, "read"); err != nil {
		c.Close()
		return 0, err
	}
	n, err := c.TCPConn.Read(c.machine.shortBuffer(p))
	if n > 0 && c.machine.plantedFaultOccurs(DropsRequests) {
		c.Close()
		return 0, io.ErrUnexpectedEOF
	}
	if n > 0 && (c.ignored || c.machine.plantedFaultOccurs(IgnoresClient)) {
		c.ignored = true
		return c.TCPConn.Read(make([]byte, len(p))) // what came is forgotten
	}
	return n, err
}

// Dial makes connects, and the reads and writes of their connections, fail on command. Connections to discovery's host are
// left alone, but for a planted fault.
func (m *Machine) Dial(discoveryHost string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		toDiscovery := strings.HasPrefix(addr, discoveryHost+":")
		if !toDiscovery {
			if err := m.nextFailure(Connect, "connect"); err != nil {
				return nil, err
			}
		}
		c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if toDiscovery {
			return discoveryConn{conn{c.(*net.TCPConn), m}}, nil
		}
		return &serverConn{conn{c.(*net.TCPConn), m}, addr}, nil
	}
}

type discoveryConn struct{ conn }

func (c discoveryConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.machine.plantedFaultOccurs(IgnoresDiscovery) {
		time.Sleep(time.Minute) // until the soak is over
	}
	return n, err
}

type serverConn struct {
	conn
	addr string
}

func (c *serverConn) Read(p []byte) (int, error) {
	if err := c.machine.nextFailure(ServerRead, "read"); err != nil {
		c.Close()
		return 0, err
	}
	n, err := c.TCPConn.Read(c.machine.shortBuffer(p))
	if n > 0 && c.machine.plantedFaultOccurs(WrongAnswers) {
		p[n-1] ^= 1
	}
	return n, err
}

func (c *serverConn) Write(p []byte) (int, error) {
	if err := c.machine.nextFailure(ServerWrite, "write"); err != nil {
		c.Close()
		return 0, err
	}
	if hold := c.machine.nextWriteDelay(); hold > 0 {
		time.Sleep(hold)
	}
	if c.machine.plantedFaultOccurs(Duplicates) {
		c.sendAgain(p)
	}
	if c.machine.plantedFaultOccurs(OverstatesTime) {
		return c.overstate(p)
	}
	return c.TCPConn.Write(p)
}

// overstate writes a request whose X-Timeout has been made ten times as long.
func (c *serverConn) overstate(p []byte) (int, error) {
	text := strings.Replace(string(p), "u\r\n\r\n", "0u\r\n\r\n", 1)
	if _, err := c.TCPConn.Write([]byte(text)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// sendAgain sends the same bytes on a connection of their own.
func (c *serverConn) sendAgain(p []byte) {
	other, err := net.Dial("tcp", c.addr)
	if err != nil {
		return
	}
	other.Write(p)
	time.AfterFunc(2*time.Second, func() { other.Close() })
}

// Replace replaces a file whole, as the agent's storage does, or fails on command: then half of a new file is left beside it.
func (m *Machine) Replace(path string, data []byte) error {
	m.mu.Lock()
	failure := m.diskErr
	m.mu.Unlock()
	part := path + ".shim"
	if failure != nil {
		os.WriteFile(part, data[:len(data)/2], 0o600)
		return &os.PathError{Op: "write", Path: part, Err: failure}
	}
	if err := os.WriteFile(part, data, 0o600); err != nil {
		return err
	}
	return os.Rename(part, path)
}
