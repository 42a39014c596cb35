// Package discovery is the emulator's service registry: agents get the full endpoint list from it, or wait for changes after a
// version (a watch, by long polling), at GET /v1/endpoints.
//
// What makes a real registry hard to rely on is modelled: changes show late (Set's delay), requests are handled one after the
// other at a bounded rate and rejected when the queue is too long, and the service can be down (SetOutage).
//
// Each agent has an address of its own, so that the service knows what it has written to which agent, and when: see
// Config.OnNotified. The referee's rules on draining and slow start rest on that.
package discovery
