package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// judge compares the long answers that clients got with what the servers gave. It returns how many were cut off, of how many.
func (r *run) judgeLong(calls []*call, counts func(*call) bool) (cut, judged int) {
	for _, c := range calls {
		r.note("client", "%s", c)
		if !counts(c) {
			continue
		}
		judged++
		if !c.whole && r.couldNotGive(c.id) {
			cut++
			r.note("judge", "%s was cut off: the server %s went on giving it and found its connection closed", c.id, r.serverOf(c.id))
		}
	}
	return cut, judged
}

// sendAll makes the same request count times at once and returns a function that waits for all answers.
func (r *run) sendAll(addr string, count int, c class, query string, size int, patience time.Duration) (calls []*call, wait func()) {
	calls = make([]*call, count)
	var all sync.WaitGroup
	for i := range calls {
		all.Go(func() { calls[i] = r.send(addr, c, query, size, patience) })
	}
	return calls, all.Wait
}

// background sends ordinary requests at a rate until stop is called, which returns them.
func (r *run) background(addr string, perSecond int) (stop func() []*call) {
	var mu sync.Mutex
	var calls []*call
	var all sync.WaitGroup
	done := make(chan struct{})
	all.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			c := priceBasket
			if i%5 < 2 {
				c = placeOrder
			}
			all.Go(func() {
				result := r.send(addr, c, "", 2, 4*time.Second)
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, result)
			})
		}
	})
	return func() []*call {
		close(done)
		all.Wait()
		return calls
	}
}

// silenceTime is how long a server falls silent, a little under the limit: "for 6 s ... a fifth of the backends fall silent".
const silenceTime = 5800 * time.Millisecond

// playSilence lets one of five servers fall silent for 5.8 s while it gives long answers.
func playSilence(r *run) (broken int, err error) {
	const size, rate, count = 600_000, 64_000, 25
	servers, processes, err := r.startBackendProcesses(5)
	if err != nil {
		return 0, err
	}
	d, err := r.startDiscovery("discovery", servers)
	if err != nil {
		return 0, err
	}
	a, err := r.startAgent(d.addr, list{Version: 41, Full: true, Servers: servers}, usualLimits)
	if err != nil {
		return 0, err
	}
	stop := r.background(a.listen, 10)
	time.Sleep(2 * time.Second)
	query := fmt.Sprintf("?bytes=%d&rate=%d&first=8192", size, rate)
	calls, wait := r.sendAll(a.listen, count, priceBasket, query, size, 60*time.Second)
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.note("platform", "%s falls silent", servers[0].ID)
		processes[0].signal(syscall.SIGSTOP)
		time.Sleep(silenceTime)
		processes[0].signal(syscall.SIGCONT)
		r.note("platform", "%s goes on", servers[0].ID)
	}
	wait()
	for _, c := range stop() {
		r.note("client", "%s", c)
	}
	time.Sleep(time.Second)
	broken, judged := r.judgeLong(calls, func(c *call) bool { return r.serverOf(c.id) == servers[0].ID && c.read > 0 })
	r.note("judge", "%d of %d long answers of %s were cut off", broken, judged, servers[0].ID)
	if judged == 0 {
		return 0, fmt.Errorf("no long answer came from %s", servers[0].ID)
	}
	return broken, nil
}

// playRestart tells the agent to end while it passes on long answers.
func playRestart(r *run) (broken int, err error) {
	const size, rate, count = 1_200_000, 64_000, 4
	const killAfter = 40 * time.Second
	servers, err := r.startBackends(5)
	if err != nil {
		return 0, err
	}
	d, err := r.startDiscovery("discovery", servers)
	if err != nil {
		return 0, err
	}
	a, err := r.startAgent(d.addr, list{Version: 41, Full: true, Servers: servers}, usualLimits)
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	query := fmt.Sprintf("?bytes=%d&rate=%d&first=8192", size, rate)
	calls, wait := r.sendAll(a.listen, count, priceBasket, query, size, 60*time.Second)
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.note("platform", "SIGTERM")
		a.signal(syscall.SIGTERM)
		time.AfterFunc(killAfter, func() {
			if a.running() {
				r.note("platform", "SIGKILL")
				a.kill()
			}
		})
	}
	wait()
	time.Sleep(time.Second)
	broken, judged := r.judgeLong(calls, func(c *call) bool { return c.read > 0 })
	r.note("judge", "%d of %d long answers were cut off", broken, judged)
	return broken, nil
}

// Limits of playChunk.
const (
	heldLimit = 2 * time.Second        // "holds the rest back for 2 s"
	heldSlack = 250 * time.Millisecond // the 50 ms of the protocol page, and two pieces of the server's writing
)

// playChunk lets a server write a chunked answer slowly, in pieces that are cut anywhere.
func playChunk(r *run) (broken int, err error) {
	const size, count = 300_000, 4
	servers, err := r.startBackends(5)
	if err != nil {
		return 0, err
	}
	d, err := r.startDiscovery("discovery", servers)
	if err != nil {
		return 0, err
	}
	a, err := r.startAgent(d.addr, list{Version: 41, Full: true, Servers: servers}, usualLimits)
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	rate := 0
	if r.trouble {
		rate = 16_000
	}
	query := fmt.Sprintf("?bytes=%d&rate=%d&first=100000&chunked=1", size, rate)
	calls, wait := r.sendAll(a.listen, count, priceBasket, query, size, 60*time.Second)
	wait()
	for _, c := range calls {
		r.note("client", "%s", c)
		if c.held > heldLimit+heldSlack {
			broken++
			r.note("judge", "%s was held back for %v although its server gave some of it every %v", c.id, c.held, pieceTime)
		}
	}
	return broken, nil
}

// Limits of playSlowList.
const (
	toldLimit = 6 * time.Second        // "a change counts as told at the latest 6 s after discovery had it and could be reached"
	grace     = 300 * time.Millisecond // DrainGraceNs, and 50 ms of the protocol page
	drainTest = 15 * time.Second       // how long is watched after that
)

// judgeDrain counts the requests that a server began after it had to be left alone.
func (r *run) judgeDrain(id string, since time.Time) (broken int) {
	r.mu.Lock()
	late := []string{}
	for request, begun := range r.work {
		for _, w := range begun {
			if w.server == id && w.at.After(since) {
				late = append(late, fmt.Sprintf("%s began %s %v too late", id, request, w.at.Sub(since).Round(time.Millisecond)))
			}
		}
	}
	r.mu.Unlock()
	for _, line := range late {
		r.note("judge", "%s", line)
	}
	return len(late)
}

// playSlowList moves the agent to a discovery service that is slow to answer, where a server begins to drain.
func playSlowList(r *run) (broken int, err error) {
	servers, err := r.startBackends(5)
	if err != nil {
		return 0, err
	}
	before, err := r.startDiscovery("discovery1", servers)
	if err != nil {
		return 0, err
	}
	after, err := r.startDiscovery("discovery2", servers)
	if err != nil {
		return 0, err
	}
	if r.trouble {
		after.delay = 2 * time.Second
	}
	a, err := r.startAgent(before.addr, list{Version: 41, Full: true, Servers: servers}, usualLimits)
	if err != nil {
		return 0, err
	}
	stop := r.background(a.listen, 25)
	time.Sleep(3 * time.Second)
	if err := a.writeConfig(after.addr); err != nil {
		return 0, err
	}
	r.note("platform", "SIGHUP: discovery moves to %s", after.addr)
	a.signal(syscall.SIGHUP)
	time.AfterFunc(1500*time.Millisecond, before.close)
	time.Sleep(2 * time.Second)
	after.set(servers[0].ID, "Terminating")
	told := time.Now().Add(toldLimit)
	time.Sleep(time.Until(told.Add(drainTest)))
	for _, c := range stop() {
		r.note("client", "%s", c)
	}
	broken = r.judgeDrain(servers[0].ID, told.Add(grace))
	r.note("judge", "%d requests began at %s after it had to be left alone", broken, servers[0].ID)
	return broken, nil
}

// playCrowd lets thousands connect and never finish a request, beside true clients.
func playCrowd(r *run) (broken int, err error) {
	const crowd = 4000
	servers, err := r.startBackends(5)
	if err != nil {
		return 0, err
	}
	d, err := r.startDiscovery("discovery", servers)
	if err != nil {
		return 0, err
	}
	a, err := r.startAgent(d.addr, list{Version: 41, Full: true, Servers: servers}, limits{Cores: 1, MemoryMB: 96, Sockets: 512})
	if err != nil {
		return 0, err
	}
	stop := r.background(a.listen, 25)
	time.Sleep(2 * time.Second)
	var all sync.WaitGroup
	if r.trouble {
		r.note("platform", "%d clients connect", crowd)
		for range 50 {
			all.Go(func() {
				for range crowd / 50 {
					conn, err := net.DialTimeout("tcp", a.listen, 3*time.Second)
					if err != nil {
						continue
					}
					io.WriteString(conn, "POST /place-order HTTP/1.1\r\nHost: origin.svc\r\n")
					all.Go(func() {
						defer conn.Close()
						conn.SetDeadline(time.Now().Add(8 * time.Second))
						io.Copy(io.Discard, conn)
					})
				}
			})
		}
	}
	time.Sleep(10 * time.Second)
	all.Wait()
	for _, c := range stop() {
		r.note("client", "%s", c)
		answered := c.endedAt.Sub(c.sentAt)
		if !c.sentAt.IsZero() && (c.status > 0 || isTimeout(c.err)) && answered > c.class.timeout+lateLimit {
			broken++
			r.note("judge", "%s had no final answer %v after it was sent, of %v", c.id, answered.Round(time.Millisecond), c.class.timeout)
		}
	}
	return broken, nil
}

// lateLimit is how long after its time a request may get its final answer: half a second, and 50 ms of the protocol page.
const lateLimit = 550 * time.Millisecond

// isTimeout reports whether a client gave up while its connection was still open.
func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// playShort lets one answer in ten arrive spoilt: its head tells half of the length that its body has.
func playShort(r *run) (broken int, err error) {
	const size, count, pause = 2000, 300, 40 * time.Millisecond
	servers, err := r.startBackends(5)
	if err != nil {
		return 0, err
	}
	d, err := r.startDiscovery("discovery", servers)
	if err != nil {
		return 0, err
	}
	a, err := r.startAgent(d.addr, list{Version: 41, Full: true, Servers: servers}, usualLimits)
	if err != nil {
		return 0, err
	}
	var all sync.WaitGroup
	calls := make([]*call, count)
	for i := range calls {
		c, query := priceBasket, fmt.Sprintf("?bytes=%d", size)
		if i%2 == 1 {
			c = placeOrder
		}
		if r.trouble && i%20 >= 18 {
			query += "&short=1"
		}
		all.Go(func() { calls[i] = r.send(a.listen, c, query, size, 4*time.Second) })
		time.Sleep(pause)
	}
	all.Wait()
	served := 0
	for _, c := range calls {
		r.note("client", "%s", c)
		if c.status == 200 && c.whole {
			served++
		}
		if c.status == 200 && c.whole && !c.right {
			broken++
			r.note("judge", "%s was served with %d bytes that look whole; %s made %d for it", c.id, c.read, r.serverOf(c.id), size)
		}
	}
	r.note("judge", "%d of %d requests were served, %d of them cut short", served, count, broken)
	if served == 0 {
		return 0, errors.New("no request was served")
	}
	return broken, nil
}

// playUpload lets servers read a long chunked body slowly.
func playUpload(r *run) (broken int, err error) {
	const bytes, rate, count = 400 << 10, 64_000, 6
	servers, err := r.startBackends(5)
	if err != nil {
		return 0, err
	}
	d, err := r.startDiscovery("discovery", servers)
	if err != nil {
		return 0, err
	}
	a, err := r.startAgent(d.addr, list{Version: 41, Full: true, Servers: servers}, usualLimits)
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	query := ""
	if r.trouble {
		query = fmt.Sprintf("?take=%d", rate)
	}
	for range count {
		c := r.upload(a.listen, placeOrder, query, bytes, 20*time.Second)
		r.note("client", "%s", c)
		if !c.written {
			return 0, fmt.Errorf("a request was not written: %w", c.err)
		}
		if answered := c.endedAt.Sub(c.sentAt); answered > c.class.timeout+lateLimit {
			broken++
			r.note("judge", "%s had no final answer %v after its last byte was written, of %v", c.id, answered.Round(time.Millisecond), c.class.timeout)
		}
	}
	return broken, nil
}

// playInterim lets servers send an interim answer while a long chunked body still arrives.
func playInterim(r *run) (broken int, err error) {
	const bytes, count, patience = 400 << 10, 6, 30 * time.Second
	servers, err := r.startBackends(5)
	if err != nil {
		return 0, err
	}
	d, err := r.startDiscovery("discovery", servers)
	if err != nil {
		return 0, err
	}
	a, err := r.startAgent(d.addr, list{Version: 41, Full: true, Servers: servers}, usualLimits)
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	query := ""
	if r.trouble {
		query = "?hint=1"
	}
	calls := make([]*call, count)
	var all sync.WaitGroup
	for i := range calls {
		all.Go(func() { calls[i] = r.upload(a.listen, placeOrder, query, bytes, patience) })
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	for _, c := range calls {
		r.note("client", "%s", c)
		if !c.written {
			return 0, fmt.Errorf("a request was not written: %w", c.err)
		}
		if answered := c.endedAt.Sub(c.sentAt); answered > c.class.timeout+lateLimit {
			broken++
			r.note("judge", "%s had no final answer %v after its last byte was written, of %v", c.id, answered.Round(time.Millisecond), c.class.timeout)
		}
	}
	return broken, nil
}
