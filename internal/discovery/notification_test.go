package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ryeweir/internal/core"
	"ryeweir/internal/emulator/link"
	"ryeweir/logic"
)

// Lists that the scripted discovery service returns.
const (
	snapshotText = `{"version":16,"full":true,"servers":[{"id":"s0","addr":"127.0.0.1:1","zone":"a","state":"Ready","weight":1}]}`
	drainText    = `{"version":17,"full":false,"servers":[{"id":"s0","addr":"127.0.0.1:1","zone":"a","state":"Terminating","weight":1}]}`
	noChangeText = `{"version":16,"full":false,"servers":[]}`
)

// queueTime is the response time of the scripted discovery service while its queue is full.
const queueTime = time.Second

// runScripted runs a client of a scripted discovery service, connected in memory, until the test ends. respond is called for each request
// with its number n, starting at 0. A status of 0 means that no response is sent.
func runScripted(t *testing.T, subscriptionRequired bool, respond func(n int, request *http.Request) (status int, body string)) *notificationLog {
	t.Helper()
	network := link.NewNetwork(1)
	listener, err := network.Listen("discovery:80")
	if err != nil {
		t.Fatal(err)
	}
	var requests atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, body := respond(int(requests.Add(1)-1), r)
		if status == 0 {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(status)
		io.WriteString(w, body)
	})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	notifications := newNotificationLog()
	client := New(Config{
		Addr:                 "discovery:80",
		Agents:               300,
		SubscriptionRequired: subscriptionRequired,
		CachedList:           parseList(t, snapshotText),
		Zones:                []string{"a"},
		Seed:                 1,
		Clock:                core.NewClock(),
		Sink:                 notifications,
		Dial: func(ctx context.Context, n, addr string) (net.Conn, error) {
			return network.Dialer("agent")(ctx, n, addr)
		},
		Log: discardLog(),
	})
	client.Subscribe()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { client.Run(ctx); close(done) }()
	t.Cleanup(func() {
		cancel()
		<-done
		server.Close()
		<-served
		time.Sleep(notificationDeadline) // until pending responses are finished
	})
	return notifications
}

// A watch gets no response, either the first one or a later one, and an endpoint starts to drain in that time. The client is notified of
// the drain within the notification deadline.
func TestChangeMissedByASilentWatchArrivesInTime(t *testing.T) {
	for _, subscriptionRequired := range []bool{false, true} {
		for _, completeWatches := range []int{0, 1, 5} {
			t.Run(fmt.Sprintf("subscription %v, after %d", subscriptionRequired, completeWatches), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkSilentWatch(t, subscriptionRequired, completeWatches) })
			})
		}
	}
}

func checkSilentWatch(t *testing.T, subscriptionRequired bool, completeWatches int) {
	t.Helper()
	var silentSince atomic.Pointer[time.Time]
	notifications := runScripted(t, subscriptionRequired, func(n int, request *http.Request) (int, string) {
		timeout, err := strconv.Atoi(request.URL.Query().Get("timeout_ms"))
		switch {
		case err != nil: // not a watch
			return http.StatusOK, snapshotText
		case n < completeWatches:
			time.Sleep(time.Duration(timeout) * time.Millisecond)
			return http.StatusOK, noChangeText
		case silentSince.Load() == nil:
			now := time.Now()
			silentSince.Store(&now)
			return 0, ""
		}
		time.Sleep(queueTime)
		return http.StatusOK, drainText
	})
	time.Sleep(time.Minute)
	synctest.Wait()
	since := silentSince.Load()
	if since == nil {
		t.Fatal("the watch without a response was not reached within a minute")
	}
	at, ok := notifications.when("s0", logic.Draining)
	if delay := at.Sub(*since); !ok || delay > notificationDeadline {
		t.Errorf("notified %v, %v after discovery stopped responding", ok, delay)
	}
}

// Discovery rejects all requests for a time between one second and ten minutes, and an endpoint starts to drain in that time. However long
// the outage was, the client is notified of the drain within the notification deadline after its end.
func TestChangeArrivesSoonAfterAnOutage(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 8 * time.Second, 50 * time.Second, 10 * time.Minute} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				end := time.Now().Add(outage)
				notifications := runScripted(t, false, func(int, *http.Request) (int, string) {
					if time.Now().Before(end) {
						return http.StatusServiceUnavailable, ""
					}
					time.Sleep(queueTime)
					return http.StatusOK, drainText
				})
				time.Sleep(outage + time.Minute)
				synctest.Wait()
				at, ok := notifications.when("s0", logic.Draining)
				if !ok || at.Sub(end) > notificationDeadline {
					t.Errorf("notified %v, %v after the outage", ok, at.Sub(end))
				}
			})
		})
	}
}
