// Package healthcheck sends health checks to endpoints, apart from any client's request.
//
// The balancer decides which endpoint is checked and when. A [Checker] holds the limits that apply whatever it decides: how many checks
// are under way, one to an endpoint at a time, and a timeout. It picks the platform's request, one that returns a load report or
// one that only says that the endpoint answers, and turns off for good if endpoints know neither. A [Transport] sends the request.
package healthcheck
