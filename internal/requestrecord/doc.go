// Package requestrecord remembers which requests may have been executed, for the processes of one agent together.
//
// An endpoint must not execute a request of a restricted class twice. Within a process the core knows the requests in progress; a client that
// leaves and sends the same ID again may reach the process after the first attempt has ended, or the other process of an upgrade, which
// accepts from the same socket. Both processes therefore keep one table in a file of the folder that they share, which each of them maps into
// its memory: a claim on an ID is one atomic operation, and it outlasts the process that made it, also one that is killed.
//
// A claim is kept for the retention, which covers the longest time in which a client may come back. It is released at once if no attempt can
// have been executed.
package requestrecord
