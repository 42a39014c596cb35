// Package httpmsg defines what an HTTP frontend and an HTTP upstream share: a request to be forwarded (Message) and an endpoint's
// response body (Content). The core passes both on without looking into them.
//
// Up to MaxBufferedBytes of a body are buffered. A body that fits is received completely before its call is submitted, and a retry
// can send it again. Of a longer body only the first part is buffered. The first attempt that gets to the Remainder reads it as it
// arrives from the client (Upload). Once that has begun, the request cannot be sent again.
//
// The time of a request counts from when its client wrote the last byte, which the agent can't see. Upload.Elapsed says how much of it may have
// passed, and Remainder.ReadAhead looks for the end when that may be all of it.
//
// Three parties use a Remainder: the attempt reads it, the upstream stops it when the endpoint answers early, and the frontend closes
// it when the request has ended. Stop and Close ensure that no late attempt reads from a connection that may carry the client's
// next request.
package httpmsg
