// Package bodybuffer passes message bodies between two goroutines through buffers of limited size.
//
// A Budget limits the memory of all buffers of a process. A Pipe is one buffer from that budget, between the goroutine that reads a
// body (Fill) and the one that writes it (WriteTo). A full buffer suspends the reading until the writer has made progress, so
// memory use does not depend on the length of the body.
package bodybuffer
