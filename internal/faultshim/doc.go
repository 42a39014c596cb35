// Package faultshim is a machine that fails on command, for the fault soak: a listener whose accept fails, a dialer whose connect
// fails, connections whose reads and writes fail or are delayed, a wall clock that steps, and storage whose writes fail. Go makes
// system calls and reads the clock without the C library, so that a preloaded library would see nothing of them: the agent gets
// this machine in place of the real one, in a real process with real sockets.
//
// Commands come as lines of text on a reader, such as the process's standard input:
//
//	clock 1h             step the wall clock
//	accept ENOBUFS 3     the next three accepts fail with that error
//	connect EMFILE 2     the next two connects to servers fail
//	clientread ECONNRESET 1
//	serverread ETIMEDOUT 1
//	serverwrite EHOSTUNREACH 1
//	hold 150ms 5         the next five writes to servers begin so much later
//	shortread 1s         for so long each read returns a few bytes
//	disk ENOSPC          writes to storage fail until "disk ok"
//	plant duplicate 0.1  a bug of the agent itself, with that probability: see PlantedFault
package faultshim
