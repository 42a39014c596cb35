package connlimit

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A place is needed in the instant in which a request has been read, before anything is known of it. The request goes on: what
// ends the connection's next read must not pass for a client that has left.
func TestPlaceNeededAsARequestBegins(t *testing.T) {
	l := New(listen(t), 1)
	l.HeaderTimeout = time.Minute
	began, goOn := make(chan struct{}), make(chan struct{})
	srv := &http.Server{ConnState: ConnState, ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, gone := context.WithCancel(r.Context())
		defer gone()
		close(began) // net/http looks for a client that leaves by now
		<-goOn
		BeginRequest(ctx, "r")
		if OnDisconnect(ctx, gone) {
			t.Error("its client passes for one that has left")
		}
		select {
		case <-ctx.Done():
			t.Error("its client passes for one that leaves")
			panic(http.ErrAbortHandler)
		case <-time.After(100 * time.Millisecond):
		}
		w.Header().Set("Connection", "close")
		io.WriteString(w, "answer")
	})}
	done := make(chan error)
	go func() { done <- srv.Serve(l) }()
	t.Cleanup(func() { l.Abort(); srv.Close(); <-done })
	c := dial(t, l)
	io.WriteString(c, ask("/a"))
	<-began
	dial(t, l) // needs the place
	eventually(t, "the place is wanted", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for open := range l.open {
			if open.hurry {
				return true
			}
		}
		return false
	})
	time.Sleep(20 * time.Millisecond) // what interrupts the read has done so
	close(goOn)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(resp.Body); string(body) != "answer" {
		t.Errorf("%q", body)
	}
}

// The limit for a body may come in the instant in which its last byte has been read, before it is taken back. The request is
// whole then, and is answered.
func TestLimitAsABodyEnds(t *testing.T) {
	l := New(listen(t), 1)
	l.HeaderTimeout = time.Minute
	srv := &http.Server{ConnState: ConnState, ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		control.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
		io.ReadAll(r.Body)                // net/http looks for a client that leaves from here on
		time.Sleep(60 * time.Millisecond) // as a process does that is short of time
		control.SetReadDeadline(time.Time{})
		ctx, gone := context.WithCancel(r.Context())
		defer gone()
		BeginRequest(ctx, "r")
		if OnDisconnect(ctx, gone) || ctx.Err() != nil {
			t.Error("its client passes for one that has left")
		}
		io.WriteString(w, "answer")
	})}
	done := make(chan error)
	go func() { done <- srv.Serve(l) }()
	t.Cleanup(func() { l.Abort(); srv.Close(); <-done })
	c := dial(t, l)
	io.WriteString(c, "POST /a HTTP/1.1\r\nHost: o\r\nContent-Length: 4\r\n\r\nbody")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(resp.Body); string(body) != "answer" {
		t.Errorf("%q", body)
	}
}

// lateAccept is a listener that has a connection in hand as it is closed: it gives it after that.
type lateAccept struct {
	net.Listener
	inHand, goOn chan struct{}
}

func (l *lateAccept) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.inHand != nil {
		close(l.inHand)
		<-l.goOn
		l.inHand = nil
	}
	return c, err
}

// A connection that has been accepted in the instant in which the listener closes is served: its request may have been sent.
func TestAcceptedAsItCloses(t *testing.T) {
	late := &lateAccept{Listener: listen(t), inHand: make(chan struct{}), goOn: make(chan struct{})}
	inHand := late.inHand
	l := New(late, 2)
	l.HeaderTimeout = time.Minute
	srv := &http.Server{ConnState: ConnState, ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		BeginRequest(r.Context(), "r")
		w.Header().Set("Connection", "close")
		io.WriteString(w, "answer")
	})}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	t.Cleanup(func() { l.Abort(); srv.Close() })
	c := dial(t, l)
	io.WriteString(c, ask("/a"))
	<-inHand
	l.Close()
	close(late.goOn)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(resp.Body); string(body) != "answer" {
		t.Errorf("%q", body)
	}
	<-done
}
