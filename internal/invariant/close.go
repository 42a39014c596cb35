package invariant

// Close describes a client's connection that is about to be closed.
type Close struct {
	RequestPending  bool // a request that was read on it has no answer yet
	ClientLeft      bool // its client has closed it
	AnswerTruncated bool // the answer broke off while it was passed on, which the client can tell
}

// Check is called immediately before the connection is closed.
//
// A client whose connection closes without an answer can't know whether its request ran, and counts it as dropped. It shows as
// a reset or an end of file on the client's side, often when idle connections are closed or the agent shuts down.
func (c Close) Check() Verdict {
	if c.RequestPending && !c.ClientLeft && !c.AnswerTruncated {
		return denied(ClosedUnanswered)
	}
	return allowed
}
