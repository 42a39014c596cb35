// Package http serves clients over HTTP/1.1. It reads and validates each request, submits it to the core as a call, and writes
// the call's answer as the HTTP response. The call's answer is the decision of the core, a core.Answer. Elsewhere in this package
// "answer" means the response to the client.
//
// # Request processing
//
// Server.ServeHTTP and exchange.run process a request in these steps, each a method:
//
//	classify   find the class that the path names
//	read       validate the head and receive the body as far as it is buffered; an invalid request gets a 4xx response
//	begin      mark the request as in flight; from here on it must get exactly one answer
//	admit      shed the request when too many are in flight
//	await      submit the call to the core and wait for the call's answer, the client's disconnect or the end of the process
//	answer     write the answer
//	abandon    in place of answer: end the request of a client that has disconnected
//
// An exchange holds the state of one request after read. A handler must not simply return when the request has begun but has no
// answer: net/http would then send a 200 response that no endpoint gave. If the client has disconnected, or the answer was cut
// short, the handler panics with http.ErrAbortHandler, which closes the connection.
//
// # Connections
//
// Client connections pass through four listeners, innermost first: acceptretry retries accepts that fail, socket bounds what the kernel holds
// of answers, framing detects messages whose end two parsers could see in different places and heads that cost too much memory, and connlimit
// bounds the number of connections and decides which of them may be closed. An answer closes its connection while the agent
// drains, while the number of connections is near the limit, and after framing has lost track of the message boundaries.
//
// # Lifecycle
//
// A server is serving, draining (requested by an operator, reversible) or shutting down (final). See lifecycle and Serve.
package http
