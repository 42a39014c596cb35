// Package bodybuffer carries the bodies of messages between two goroutines through buffers of bounded size.
//
// A Budget bounds the memory of all buffers of a process together. A Pipe is one buffer from it, between the goroutine that reads a
// body (Fill) and the one that writes it (WriteTo): a slow reader at the far end stops the filling, so that memory stays bounded
// however long the body is.
package bodybuffer
