// Package discovery follows the endpoint list of the platform's discovery service and passes its changes to a [Sink].
//
// A [Client] polls GET /v1/endpoints. A request without a query returns a full snapshot. A request with since=VERSION&timeout_ms=T is a
// watch: it returns a watch event with what has changed since that version, at the latest after T milliseconds. Versions grow; a
// lower one means that discovery has lost its state and restarted the count, and a full snapshot is needed.
//
// Run goes through these stages, a file each:
//
//	start     the cached list of an earlier process, if discovery does not answer at once   client.go
//	session   all requests to one address; SetAddress begins another                        session.go
//	watch     one watch after the other, and recovery from one that got no answer           watch.go
//	request   one HTTP request                                                              request.go
//	apply     a received list against the last known one                                    apply.go, decode.go, starttime.go
//
// timing.go has the rules for when requests are made: the notification deadline, the backoff after failures, and how the requests of
// a large fleet are spread. While discovery is unavailable the last list stays in force.
package discovery
