package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["upload"] = upload }

// upload: one of four order nodes hangs: its connections come up, and it reads nothing. Clients send long orders. Each must get its
// answer within its time and half a second.
func upload(r *rig) int {
	const (
		size    = 5 << 20
		clients = 20
		timeout = 800 * time.Millisecond
		bound   = timeout + 550*time.Millisecond
	)
	nodes := r.startNodes(4, func(s *node, c net.Conn, call *call) bool {
		return respond(c, "200 OK", "", []byte("placed "+call.id))
	})
	list := entries(nodes)
	if r.trouble {
		l := r.listen()
		list[0].Addr = l.Addr().String()
		r.logf("%s hangs", list[0].ID)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				r.logf("%s: a connection has come up; nothing is read from it", list[0].ID)
				r.atEnd(func() { c.Close() })
			}
		}()
	}
	d := r.startDiscovery(list)
	a := r.startAgent(d.addr, d.known(), settings)
	body := bytes.Repeat([]byte("order..."), size/8)
	var running sync.WaitGroup
	var mu sync.Mutex
	wrong := 0
	for range clients {
		running.Go(func() {
			id := newID()
			c := r.dial(a.addr)
			c.SetDeadline(time.Now().Add(20 * time.Second))
			io.WriteString(c, head(order, id, timeout, size))
			if _, err := c.Write(body); err != nil {
				r.logf("client: id %s: its body could not be written: %v", id, err)
				return
			}
			sent := time.Now()
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			took := time.Since(sent)
			if err != nil {
				r.logf("client: id %s: no answer %v after the last byte was written: %v", id, took, err)
			} else {
				r.logf("client: id %s: status %d, %v after the last byte was written", id, response.StatusCode, took)
			}
			if took > bound || err != nil {
				mu.Lock()
				defer mu.Unlock()
				wrong++
				r.logf("BROKEN: id %s: its answer was owed %v after the last byte", id, bound)
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	running.Wait()
	r.logf("figures: %s", a.metrics())
	return verdict(wrong)
}
