package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["slowreader"] = slowReader }

// slowReader: a client reads a long answer at 64 kB a second. The agent must pass on all that the order node gives.
func slowReader(r *rig) int {
	const (
		size    = 12 << 20
		rate    = 64_000 // bytes a second
		pause   = 100 * time.Millisecond
		longest = 100 * time.Second
	)
	answer := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	nodes := r.startNodes(3, func(s *node, c net.Conn, call *call) bool {
		if !respond(c, "200 OK", "", answer) {
			r.logf("%s: id %s: the agent closed the connection before the node could write its whole answer", s.ID, call.id)
			return false
		}
		r.logf("%s: id %s: whole answer written", s.ID, call.id)
		return true
	})
	d := r.startDiscovery(entries(nodes))
	a := r.startAgent(d.addr, d.known(), settings)
	id := newID()
	c := r.dial(a.addr)
	io.WriteString(c, head(basket, id, 2*time.Second, 0))
	began := time.Now()
	r.logf("client: sent id %s", id)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.logf("BROKEN: client: id %s: no answer: %v", id, err)
		return broken
	}
	r.logf("client: id %s: status %d, length %d, head after %v", id, response.StatusCode, response.ContentLength, time.Since(began))
	if response.StatusCode != http.StatusOK { // refused or failed, which this rule allows
		cannot("the request was not served: nothing to judge")
	}
	want := int64(size)
	if r.trouble {
		want = rate * int64(pause) / int64(time.Second)
	}
	var got, logged int64
	for got < size && time.Since(began) < longest {
		next := time.Now().Add(pause)
		n, err := io.CopyN(io.Discard, response.Body, want)
		got += n
		if got-logged >= 10*rate {
			logged = got
			r.logf("client: has read %d bytes", got)
		}
		if err != nil && got < size {
			r.logf("figures: %s", a.metrics())
			r.logf("BROKEN: client: id %s: the answer was cut off after %d of %d bytes: %v", id, got, size, err)
			return broken
		}
		if r.trouble {
			time.Sleep(time.Until(next))
		}
	}
	r.logf("figures: %s", a.metrics())
	r.logf("client: id %s: has read %d of %d bytes, nothing was cut off", id, got, size)
	return held
}
