// Command simhost runs balancers on the simulator's wire (internal/wire): events on standard input, actions on standard output. It
// hosts many instances, which share nothing. It exits with 1 at the first line that it can't read.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"ryeweir/internal/wire"
	"ryeweir/logic"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// outputBuffer is how many bytes of a reply are gathered before they are written.
const outputBuffer = 1 << 16

// run answers every batch of events with one flushed reply until the input ends. The error names the line at fault.
func run(in io.Reader, out io.Writer) error {
	h := host{
		decoder:   wire.NewDecoder(in),
		out:       bufio.NewWriterSize(out, outputBuffer),
		balancers: map[string]*logic.Balancer{},
	}
	for {
		message, err := h.decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(message); err != nil {
			return err
		}
	}
}

// host holds the balancers of one simulation, one for each instance.
type host struct {
	decoder   *wire.Decoder
	out       *bufio.Writer
	now       time.Duration // of the batch at hand
	balancers map[string]*logic.Balancer
	line      []byte // of the reply; kept to save an allocation for each action
}

// handle carries out one message, and writes what the balancer wants done.
func (h *host) handle(message wire.Message) error {
	switch message.Kind {
	case wire.BatchStart:
		h.now = message.Now
	case wire.InstanceStarted:
		balancer, err := logic.New(message.Settings, message.Seed)
		if err != nil {
			return fmt.Errorf("line %d: %w", h.decoder.Line(), err)
		}
		h.balancers[message.Instance] = balancer
		h.write(message.Instance, balancer.Start(h.now))
	case wire.InstanceKilled:
		delete(h.balancers, message.Instance)
	case wire.InstanceEvent:
		h.write(message.Instance, h.balancers[message.Instance].Handle(h.now, message.Event))
	case wire.BatchEnd:
		h.out.Write(wire.AppendYield(nil))
		return h.out.Flush()
	}
	return nil
}

// write adds actions to the reply. A write that fails is reported by the flush at the end of the batch.
func (h *host) write(instance string, actions []logic.Action) {
	for _, action := range actions {
		h.line = wire.AppendAction(h.line[:0], instance, action)
		h.out.Write(h.line)
	}
}
