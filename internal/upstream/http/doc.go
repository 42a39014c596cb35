// Package http executes attempts as HTTP/1.1 exchanges with endpoints. Each connection carries one request at a time.
//
// [Upstream.Execute] takes an attempt through these steps. How far the attempt got determines which outcomes are possible:
//
//	connect     get a connection from the pool; nothing has been written                          upstream.go
//	begin send  check the send (invariant.Send); if allowed, the request may run                  upstream.go
//	write       write the request; a request that is not written completely never ran             write.go
//	await       await the head of the final response; if none arrives, the request may have run   response.go
//	read        read the body, buffered or streamed to the client                                 body.go
//	release     return the connection to the pool with the state it was left in                   release.go
//
// Endpoints start to process a request when its last byte arrives, so a request that was not written completely never ran.
//
// The package does not use net/http's Transport, because that sends a request again on its own when a reused connection turns out
// to be closed. The balancer would not have decided on that attempt, and it could apply the effect of the request twice.
//
// Health checks use the same pool, see [Upstream.HealthCheck].
package http
