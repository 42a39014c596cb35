// Package http carries out attempts as HTTP/1.1 exchanges with endpoints. Each connection carries one request at a time.
//
// [Upstream.Execute] takes an attempt through these steps. What holds after each decides what its outcome may say:
//
//	connect   a connection of the pool; nothing is written                      upstream.go
//	claim     the send guard allows it; from here on the request may run        upstream.go
//	write     all of the request is out, or else it never ran                   write.go
//	await     the head of the final response, or else the request may have run  response.go
//	read      the body, buffered or streamed to the client                      body.go
//	release   the connection goes back with what is known of it                 release.go
//
// Endpoints begin a request when its last byte arrives: one that was not written completely never ran.
//
// net/http's Transport is not used, because it sends a request again by itself when a reused connection turns out to be closed.
// That would be an attempt that the balancer did not decide on, and it may repeat an effect.
//
// Health checks go over the same pool, see [Upstream.HealthCheck].
package http
