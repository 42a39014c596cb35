// Package backend puts an order node on a listener: HTTP/1.1 in the platform's form around the model of package node.
//
// A Backend is a node at one address, through all incarnations of its process: Start begins the first, Kill ends one
// suddenly, Restart begins the next. It owns its node.Node behind one lock. A driver goroutine lets the model's time pass
// and hands out what ends; each connection has one goroutine that answers and one that reads ahead, so that a client that
// leaves is noticed while its request is open.
//
// What happens to a request is reported to an Observer, which is the referee in a run: the request has arrived, its
// execution has started, a response was produced for it.
//
// A request carries its true cost in X-Attrs (work=, in microseconds on a core of speed 1) and the size that its response
// is to have (answer=, in bytes).
package backend
