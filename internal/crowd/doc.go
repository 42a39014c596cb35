// Package crowd plays groups of clients that strain an agent: crowds, which hold many connections with slow or unfinished work, and
// floods, which send small requests on few connections at full speed.
//
// [Hold] keeps a crowd connected, [Flood] keeps a flood going. Both end with their context. They serve the fault soak and the tests of an
// agent as a real process.
package crowd
