package http

import (
	"net/http"
	"strconv"

	"ryeweir/internal/connlimit"
	"ryeweir/internal/event"
	"ryeweir/internal/httpmsg"
	"ryeweir/internal/metrics"
)

// shedUnread rejects a request with a body because too many requests are in flight, before any of the body has been read. Otherwise a crowd
// of slow uploads would hold the connections that are left for rejections.
func (s *Server) shedUnread(w http.ResponseWriter, r *http.Request, class int) {
	ctx, id := r.Context(), firstValue(r.Header, requestIDHeader)
	connlimit.BeginRequest(ctx, id)
	connlimit.BeginAnswer(ctx)
	s.Metrics.RequestAnswered(class, metrics.Rejected)
	s.Events.Record(event.Event{Kind: event.RequestAnswered, Reason: event.TooManyOpen, Request: id, Connection: connlimit.ConnectionID(ctx)})
	control := http.NewResponseController(w)
	control.EnableFullDuplex() // the client may continue to send while the answer is written
	header := w.Header()
	header["Content-Type"] = nil // keeps net/http from guessing one
	header.Set("Connection", "close")
	header.Set("Content-Length", "0")
	header.Set("Retry-After", strconv.FormatFloat(overLimitRetryAfter.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	control.Flush()
	connlimit.BeginDiscard(ctx)
	rest := httpmsg.Remainder{Upload: &httpmsg.Upload{Source: r.Body, SetReadDeadline: control.SetReadDeadline}}
	rest.Drain()
	endAfterAnswer(&rest)
}
