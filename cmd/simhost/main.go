// Command simhost runs balancers for the simulator. It reads events from standard input and writes actions to standard output, in the
// protocol of internal/wire. One process hosts many balancer instances, which share no state. It exits with status 1 at the first invalid
// line.
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

// outputBufferBytes is the size of the buffer for replies.
const outputBufferBytes = 1 << 16

// run reads batches of events until the input ends, and flushes one reply after each batch. Its errors name the invalid line.
func run(in io.Reader, out io.Writer) error {
	h := host{
		decoder:   wire.NewDecoder(in),
		out:       bufio.NewWriterSize(out, outputBufferBytes),
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

// host holds the balancers of a simulation, by instance.
type host struct {
	decoder   *wire.Decoder
	out       *bufio.Writer
	now       time.Duration // time of the current batch
	balancers map[string]*logic.Balancer
	line      []byte // buffer for one line of the reply, reused to avoid an allocation per action
}

// handle processes one message and writes the actions that the balancer returns.
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

// write appends actions to the reply. The flush at the end of the batch returns any write error.
func (h *host) write(instance string, actions []logic.Action) {
	for _, action := range actions {
		h.line = wire.AppendAction(h.line[:0], instance, action)
		h.out.Write(h.line)
	}
}
