package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxListBytes is the longest list that is read.
const maxListBytes = 1 << 20

// statusError is a response of discovery that is no 200.
type statusError struct {
	status string
}

func (e *statusError) Error() string { return "discovery answered " + e.status }

// errListTooLong says that a list is longer than maxListBytes.
var errListTooLong = fmt.Errorf("discovery's list is over %d bytes", maxListBytes)

// request makes a request and applies the list that it returns. The error is context.DeadlineExceeded if there was no answer in time.
//
// Failure: the process was paused for longer than the timeout, and its timers fire before what has arrived meanwhile is read: an answer
// that was in time would be lost. The guard holds because a timer that is late gives the reader a moment first.
func (c *Client) request(ctx context.Context, query string, timeout time.Duration) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	deadline := time.Now().Add(timeout)
	timer := time.AfterFunc(timeout, func() {
		if time.Since(deadline) > processStallTolerance {
			sleep(ctx, processStallTolerance)
		}
		cancel(context.DeadlineExceeded)
	})
	defer timer.Stop()
	list, err := c.fetch(ctx, query)
	if err == nil {
		err = c.apply(list, query == fullSnapshot)
	}
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, context.DeadlineExceeded) {
		return cause
	}
	return err
}

// fetch gets a list from the session's address.
func (c *Client) fetch(ctx context.Context, query string) (EndpointList, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.sessionAddr+"/v1/endpoints"+query, nil)
	if err != nil {
		return EndpointList{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return EndpointList{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return EndpointList{}, &statusError{response.Status}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return EndpointList{}, err
	}
	if len(body) > maxListBytes {
		return EndpointList{}, errListTooLong
	}
	list, err := ParseEndpointList(body)
	if err != nil {
		return EndpointList{}, fmt.Errorf("discovery's list: %w", err)
	}
	return list, nil
}
