// Package httpmsg is what an HTTP front and an HTTP upstream share: a request as it is forwarded (Message), and what an endpoint
// made for it (Content). The core carries both without looking into them.
//
// A body is buffered up to MaxBufferedBytes. One that fits is complete before its call is submitted, and can be sent again in a
// retry. Of a longer one the first part is buffered, and the Remainder is read by the first attempt that gets to it, as it comes in
// from the client (Upload): such a request can't be sent again once its Remainder has been consumed.
//
// Three parties meet at a Remainder: the attempt that reads it, the upstream that stops it when the endpoint answers early, and the
// front that closes it when the request is over. Stop and Close make sure that no late attempt reads from a connection which may
// carry the client's next request.
package httpmsg
