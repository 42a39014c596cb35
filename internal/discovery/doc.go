// Package discovery watches the endpoint list of the platform's discovery service and passes its changes to a [Sink].
//
// A [Client] polls GET /v1/endpoints. A request without a query returns a full snapshot. A request with since=VERSION&timeout_ms=T is a
// watch, a long poll: it returns a watch event with the changes since that version, after T milliseconds at the latest. Versions only
// increase. A lower version means that the discovery service has lost its state and restarted its numbering; the client then requests a
// full snapshot.
//
// Run consists of these stages:
//
//	start     uses the list cached by an earlier process if discovery is not asked or does not respond at once   client.go
//	session   all requests to one address; SetAddress starts another session                                     session.go
//	watch     consecutive watches, and recovery from a watch that got no response                                watch.go
//	request   a single HTTP request                                                                              request.go
//	apply     comparison of a received list with the last known one                                              apply.go, decode.go, starttime.go
//
// timing.go defines when requests are made: the notification deadline, the backoff after failures, and how the requests of a large
// fleet are spread over time. While discovery is unavailable the last list stays in effect.
package discovery
