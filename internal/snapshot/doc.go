// Package snapshot saves what an agent has learned about its endpoints to a file, so that the next process does not have to learn it
// again.
//
// A snapshot is optional. [File.Load] does not use a file that is missing, unreadable, corrupt, too old, saved in the future, or written by
// another agent or under other settings, and returns one of the errors of this package. If a file cannot be written, the failure is
// logged, the old file stays, and the agent continues to serve.
//
// Files are replaced atomically: a reader, such as the next process during a handover, sees either the old or the new contents. The file
// format is a magic number, the CRC-32C of the rest of the file, and a JSON document (format.go).
package snapshot
