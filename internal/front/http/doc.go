// Package http is the front for clients that speak HTTP/1.1. It reads and checks each request, submits it to the core as a call,
// and writes the one answer that the call gets.
//
// # The way of a request
//
// Server.ServeHTTP and exchange.run take a request through named steps, each a method:
//
//	classify   which class of the settings the path names
//	read       check the head, receive the body as far as it is buffered; a request that is not valid gets a plain 4xx
//	begin      from here on the request must get its one answer
//	admit      shed it when too many requests are in flight
//	await      submit it to the core and wait for the answer, the client's disconnect or the end of the process
//	answer     write the answer
//	abandon    in place of answer, when the client has disconnected: nobody waits for one
//
// An exchange holds what one request needs on that way. What a handler must not do is return without an answer for a request that
// began: net/http would answer 200, which no endpoint said. Where nobody waits for an answer, or one broke off, it panics with
// http.ErrAbortHandler, which closes the connection.
//
// # Connections
//
// Clients' connections pass through the listeners of acceptretry (goes on after accepts that fail), socket (sizes of the kernel's
// buffers), framing (messages that two readers could split differently) and connlimit (how many there may be, and which of them may
// be closed). Answers close their connections while the agent drains, near the limit of connections, and where framing has lost
// track.
//
// # Lifecycle
//
// A server is serving, draining (an operator's wish, which can be taken back) or shutting down (final). See lifecycle and Serve.
package http
