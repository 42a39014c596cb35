package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Behavior is what each client of a crowd does, over and over on new connections.
type Behavior string

// The behaviors of a crowd.
const (
	ManyFields    Behavior = "many-fields"    // sends a head of very many short fields, and rests before its last line
	StalledUpload Behavior = "stalled-upload" // announces a body of 30 MB, sends the first megabyte and stops
	SlowHead      Behavior = "slow-head"      // writes a head byte by byte
	SlowReader    Behavior = "slow-reader"    // reads a long answer at 80 kB/s
	Mixed         Behavior = "mixed"          // one of the others, in turn
)

// Behaviors lists the behaviors that a crowd is drawn from.
var Behaviors = []Behavior{ManyFields, StalledUpload, SlowHead, SlowReader, Mixed}

// Sizes and pauses of the behaviors.
const (
	shortFields       = 1600
	stalledBodyBytes  = 30 << 20
	stalledAfterBytes = 1 << 20
	slowHeadPause     = 10 * time.Millisecond // between two bytes of a head
	slowReadBytes     = 8 << 10               // read at a time
	slowReadPause     = 100 * time.Millisecond
	restBeforeNext    = 50 * time.Millisecond // between two connections of a client
	dialTimeout       = 5 * time.Second
	connectionLimit   = 20 * time.Second // after which a client begins anew
)

// Hold keeps a crowd of clients connected to addr until ctx ends. read is the class of requests with long answers, upload that of requests
// with a body.
func Hold(ctx context.Context, addr string, clients int, behavior Behavior, read, upload Request) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := range clients {
		own := behavior
		if own == Mixed {
			own = Behaviors[i%4]
		}
		all.Go(func() {
			for ctx.Err() == nil {
				holdOnce(ctx, addr, own, read, upload)
				sleep(ctx, restBeforeNext)
			}
		})
	}
}

// holdOnce plays a behavior on one connection.
func holdOnce(ctx context.Context, addr string, behavior Behavior, read, upload Request) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	defer stop()
	conn.SetDeadline(time.Now().Add(connectionLimit))
	switch behavior {
	case ManyFields:
		io.WriteString(conn, read.Head(NewID(), manyFields()))
		io.Copy(io.Discard, conn)
	case StalledUpload:
		io.WriteString(conn, upload.Head(NewID(), withLength(stalledBodyBytes))+"\r\n")
		io.WriteString(conn, strings.Repeat("b", stalledAfterBytes))
		io.Copy(io.Discard, conn)
	case SlowHead:
		writeSlowly(ctx, conn, read.Head(NewID(), "")+"\r\n")
		io.Copy(io.Discard, conn)
	case SlowReader:
		io.WriteString(conn, read.Head(NewID(), "")+"\r\n")
		readSlowly(ctx, conn)
	}
}

// manyFields returns the lines of very many short fields.
func manyFields() string {
	var fields strings.Builder
	for i := range shortFields {
		fmt.Fprintf(&fields, "a%x: b\r\n", i)
	}
	return fields.String()
}

// writeSlowly writes a text byte by byte.
func writeSlowly(ctx context.Context, conn net.Conn, text string) {
	for i := range len(text) {
		if _, err := conn.Write([]byte{text[i]}); err != nil || ctx.Err() != nil {
			return
		}
		sleep(ctx, slowHeadPause)
	}
}

// readSlowly reads at slowReadBytes each slowReadPause until the connection ends.
func readSlowly(ctx context.Context, conn net.Conn) {
	piece := make([]byte, slowReadBytes)
	for ctx.Err() == nil {
		if _, err := io.ReadFull(conn, piece); err != nil {
			return
		}
		sleep(ctx, slowReadPause)
	}
}

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
