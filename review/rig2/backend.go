package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// workTime is how long a server works on an ordinary request.
const workTime = 20 * time.Millisecond

// backend is a stand-in of a server. What its answer looks like, the query of a request says: bytes=N (of the body, 2 if absent), rate=N (bytes a
// second at which it is written, at once if absent), first=N (bytes that are written at once, in a chunk of their own if the answer is chunked)
// chunked=1 (the rest is one chunk), short=1 (the head tells half of the
// length) take=N (bytes a second at which the body of the request is read, at once if absent)
// and hint=1 (an interim answer, 103, comes before the body is read).
type backend struct {
	id    string
	began func(id string) // called with the ID of each request whose last byte has arrived
	// unable is called with the ID of each request whose answer could not be given to its end.
	unable func(id string)
	note   func(format string, args ...any)
}

func (b *backend) serve(l net.Listener) { http.Serve(l, b) }

// ServeHTTP answers a request once its last byte has arrived.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" || r.URL.Path == "/status/load" {
		io.WriteString(w, "qps=10,util=0.2")
		return
	}
	id := r.Header.Get("X-Request-Id")
	number := func(name string, otherwise int) int {
		if n, err := strconv.Atoi(r.URL.Query().Get(name)); err == nil {
			return n
		}
		return otherwise
	}
	if number("hint", 0) == 1 {
		w.WriteHeader(http.StatusEarlyHints)
	}
	if err := readSlowly(r.Body, number("take", 0)); err != nil {
		b.note("%s did not get the whole of %s: %v", b.id, id, err)
		return
	}
	b.began(id)
	time.Sleep(workTime)
	size, short := number("bytes", 2), number("short", 0) == 1
	body := bodyOf(id, size)
	if r.URL.RawQuery == "" || number("hint", 0) == 1 {
		io.WriteString(w, body)
		return
	}
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if short {
		b.answerShort(conn, id, body)
		return
	}
	first := min(size, number("first", 0))
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n"
	chunked := number("chunked", 0) == 1
	if chunked {
		fmt.Fprintf(out, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n", head, first, body[:first], size-first)
	} else {
		fmt.Fprintf(out, "%sContent-Length: %d\r\n\r\n%s", head, size, body[:first])
	}
	if err := out.Flush(); err != nil {
		return
	}
	if err := writeSlowly(out.Writer, body[first:], number("rate", 0)); err != nil {
		b.note("%s could not give the rest of %s: %v", b.id, id, err)
		b.unable(id)
		return
	}
	if chunked {
		io.WriteString(out, "\r\n0\r\n\r\n")
		out.Flush()
	}
	b.note("%s gave the whole answer to %s", b.id, id)
}

// answerShort gives a spoilt answer: its head tells half of the length that its body has. The connection stays open but is of no further use.
func (b *backend) answerShort(conn net.Conn, id, body string) {
	b.note("%s gives a spoilt answer to %s: its head tells %d of %d bytes", b.id, id, len(body)/2, len(body))
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n%s", len(body)/2, body)
	io.Copy(io.Discard, conn)
}

// pieceTime is the time between two pieces of an answer that is written slowly.
const pieceTime = 100 * time.Millisecond

// writeSlowly writes at a rate in bytes a second, or at once if the rate is 0.
func writeSlowly(out *bufio.Writer, body string, rate int) error {
	piece := len(body)
	if rate > 0 {
		piece = max(1, rate*int(pieceTime/time.Millisecond)/1000)
	}
	for len(body) > 0 {
		n := min(piece, len(body))
		out.WriteString(body[:n])
		if err := out.Flush(); err != nil {
			return err
		}
		if body = body[n:]; len(body) > 0 {
			time.Sleep(pieceTime)
		}
	}
	return nil
}

// readSlowly reads a body at a rate in bytes a second, or at once if the rate is 0.
func readSlowly(body io.Reader, rate int) error {
	for {
		if rate == 0 {
			_, err := io.Copy(io.Discard, body)
			return err
		}
		_, err := io.CopyN(io.Discard, body, int64(rate)*int64(pieceTime)/int64(time.Second))
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(pieceTime)
	}
}

// receiveBuffer is what the kernel of a server holds of a request, in bytes before the kernel's own doubling.
const receiveBuffer = 32 << 10

// listenAsServer listens as a server does.
func listenAsServer() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer) })
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// bodyOf returns the body that a server makes for a request.
func bodyOf(id string, size int) string {
	if size <= 2 {
		return "ok"[:size]
	}
	unit := id + "\n"
	return strings.Repeat(unit, size/len(unit)+1)[:size]
}

// startBackends starts servers within this process, each on an address of its own.
func (r *run) startBackends(count int) (servers []server, err error) {
	for i := range count {
		l, err := listenAsServer()
		if err != nil {
			return nil, err
		}
		s := entry(i, l.Addr().String())
		b := &backend{id: s.ID, began: func(id string) { r.beganWork(s.ID, id) }, unable: r.noteUnable, note: func(format string, args ...any) { r.note("server", format, args...) }}
		go b.serve(l)
		servers = append(servers, s)
	}
	return servers, nil
}

// entry returns the entry of a server that started long ago.
func entry(i int, addr string) server {
	return server{ID: fmt.Sprintf("s-%08x", 0x5be2a000+i), Addr: addr, Zone: []string{"colombo", "kandy", "galle"}[i%3], Kind: "gen-a", Cell: i / 6, State: "Ready", Weight: 1}
}

// startBackendProcesses starts servers as processes of their own. What they note comes through their output.
func (r *run) startBackendProcesses(count int) (servers []server, processes []*process, err error) {
	program, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	for i := range count {
		s := entry(i, "")
		cmd := exec.Command(program, "backend", s.ID)
		out, err := cmd.StdoutPipe()
		if err != nil {
			return nil, nil, err
		}
		p, err := r.start(s.ID, cmd)
		if err != nil {
			return nil, nil, err
		}
		lines := bufio.NewScanner(out)
		if !lines.Scan() {
			return nil, nil, fmt.Errorf("server %s has no address", s.ID)
		}
		s.Addr = lines.Text()
		go func() {
			for lines.Scan() {
				if id, began := strings.CutPrefix(lines.Text(), beganPrefix); began {
					r.beganWork(s.ID, id)
					continue
				}
				if id, unable := strings.CutPrefix(lines.Text(), unablePrefix); unable {
					r.noteUnable(id)
					continue
				}
				r.note("server", "%s", lines.Text())
			}
		}()
		servers, processes = append(servers, s), append(processes, p)
	}
	return servers, processes, nil
}

// What begins the lines in which the process of a server tells that it began a request, or could not give an answer to its end.
const (
	beganPrefix  = "began "
	unablePrefix = "unable "
)

// serveBackendProcess is the process of one server.
func serveBackendProcess(id string) {
	l, err := listenAsServer()
	if err != nil {
		os.Exit(exitNoRun)
	}
	fmt.Println(l.Addr())
	var mu sync.Mutex
	note := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	b := &backend{id: id, began: func(request string) { note("%s%s", beganPrefix, request) }, unable: func(request string) { note("%s%s", unablePrefix, request) }, note: note}
	b.serve(l)
}
