// Package backend serves an order node on a listener: HTTP/1.1 as the platform uses it, with the model of package node behind it.
//
// A Backend is a node at one address, through all incarnations of its process: Start begins the first, Kill ends the current one
// suddenly, and Restart begins the next. The Backend owns its node.Node and guards it with one lock. A driver goroutine advances
// the model's time and passes completions to the waiting requests. Each connection has two goroutines: one answers requests, and
// one reads ahead, so that the end of the connection is detected while a request is open.
//
// The Backend reports to an Observer, in a run the referee, when a request has arrived, when its execution has started and which
// response was produced for it.
//
// The header X-Attrs of a request states its true cost (work=, in microseconds on a core of speed 1) and the size of the response
// body (answer=, in bytes).
package backend
