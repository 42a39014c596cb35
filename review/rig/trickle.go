package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["trickle"] = trickle }

// trickle: an order node's chunked answer comes in small pieces and never ends.
func trickle(r *rig) int {
	const timeout = 800 * time.Millisecond
	piece := bytes.Repeat([]byte("x"), 512)
	nodes := r.startNodes(3, func(s *node, c net.Conn, call *call) bool {
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
			return false
		}
		sent := 0
		for r.trouble || sent < 3*len(piece) {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				r.logf("%s: id %s: the agent has closed after %d bytes", s.ID, call.id, sent)
				return false
			}
			sent += len(piece)
			time.Sleep(100 * time.Millisecond)
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	})
	d := r.startDiscovery(entries(nodes))
	a := r.startAgent(d.addr, d.known(), settings)
	id := newID()
	c := r.dial(a.addr)
	io.WriteString(c, head(order, id, timeout, 5)+"order")
	sent := time.Now()
	c.SetDeadline(sent.Add(12 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.logf("client: no answer: %v", err)
		return broken
	}
	r.logf("client: status %d", response.StatusCode)
	n, err := io.Copy(io.Discard, response.Body)
	took := time.Since(sent)
	r.logf("client: %d bytes after %v, error %v", n, took, err)
	if took > timeout+550*time.Millisecond {
		r.logf("BROKEN")
		return broken
	}
	return held
}
