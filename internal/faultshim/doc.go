// Package faultshim injects faults into an agent's system calls, clock and storage, for the soak of internal/soak. It provides a listener
// whose accept fails, a dialer whose connect fails, connections whose reads and writes fail or are delayed, a wall clock that steps, and
// storage whose writes fail. An agent in a real process with real sockets uses them in place of those of the machine. A preloaded library
// (LD_PRELOAD) could not do this, because Go makes system calls and reads the clock without the C library.
//
// Commands are lines of text that Machine.Run reads, for example from the process's standard input:
//
//	clock 1h                    set the wall clock that far ahead of the real one (-1h: behind it); not added to an earlier offset
//	accept ENOBUFS 3            the next three accepts fail with that error
//	connect EMFILE 2            the next two connects to servers fail
//	clientread ECONNRESET 1     the next read from a client fails
//	serverread ETIMEDOUT 1      the next read from a server fails
//	serverwrite EHOSTUNREACH 1  the next write to a server fails
//	hold 150ms 5                the next five writes to servers are each delayed by that time
//	shortread 1s                for that time each read returns only a few bytes
//	disk ENOSPC                 writes to storage fail until "disk ok"
//	plant duplicate 0.1         simulate a bug of the agent, with that probability: see PlantedFault
//
// The count of failures or delays is 1 if it is left out.
package faultshim
