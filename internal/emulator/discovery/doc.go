// Package discovery is the emulator's service registry. With GET /v1/endpoints agents fetch the full endpoint list, or wait for
// changes after a version by long polling (a watch).
//
// The registry emulates the weaknesses of real ones. Changes show late (the delay of Server.Set). Requests are handled one at a
// time, at a limited rate, and are rejected when the queue is too long. The service can be down (Server.SetOutage).
//
// Each agent uses an address of its own, by which the service records what it has written to which agent, and when: see
// Config.OnNotified. The referee's rules on draining and slow start depend on these records.
package discovery
