package invariant

// Close describes the state of a client's connection that is about to be closed.
type Close struct {
	RequestPending  bool // a request was read from the connection and has no answer yet
	ClientLeft      bool // the client has closed the connection
	AnswerTruncated bool // the answer broke off while it was forwarded, which the client can detect
}

// Check must be called immediately before the connection is closed.
//
// A client whose connection is closed before the answer can't know whether its request was executed, and counts the request as
// dropped. It sees a connection reset or an end of file. Typical causes are closing of idle connections and the shutdown of the
// agent, if they overlap with a request.
func (c Close) Check() CheckResult {
	if c.RequestPending && !c.ClientLeft && !c.AnswerTruncated {
		return denied(ClosedUnanswered)
	}
	return allowed
}
