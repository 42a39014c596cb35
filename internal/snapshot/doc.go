// Package snapshot saves what an agent has learned of its endpoints in a file, so that the process that follows it does not
// begin without any knowledge.
//
// A snapshot only ever helps. A file that is missing, too old, damaged, or of another agent or other settings is not used, and
// [File.Load] says why with one of the errors of this package; a file that can't be written changes nothing else.
//
// A file is replaced atomically: a reader, which may be the next process during a handover, sees the old or the new contents. Its
// form is a magic, the CRC-32C of what follows, and a JSON document (format.go).
package snapshot
