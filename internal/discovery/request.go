package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxListBytes limits the size of a response body.
const maxListBytes = 1 << 20

// statusError is a response with a status other than 200.
type statusError struct {
	addr   string // of discovery
	status string
}

func (e *statusError) Error() string {
	return "discovery at " + e.addr + " returned status " + e.status
}

// errListTooLong is returned for a response body of more than maxListBytes.
var errListTooLong = fmt.Errorf("endpoint list exceeds %d bytes", maxListBytes)

// request makes a request and applies the list that it returns. The error is context.DeadlineExceeded if no response arrived in time.
//
// If the process is paused for longer than the timeout, its timers fire before it has read what arrived during the pause, and a response
// that was in time would be lost. A timer that fires late therefore waits for processStallTolerance before it cancels the request.
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

// fetch requests a list from the address of the session.
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
		return EndpointList{}, &statusError{addr: c.sessionAddr, status: response.Status}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return EndpointList{}, err
	}
	if len(body) > maxListBytes {
		return EndpointList{}, fmt.Errorf("discovery at %s: %w", c.sessionAddr, errListTooLong)
	}
	list, err := ParseEndpointList(body)
	if err != nil {
		return EndpointList{}, fmt.Errorf("decode endpoint list from discovery at %s: %w", c.sessionAddr, err)
	}
	return list, nil
}
