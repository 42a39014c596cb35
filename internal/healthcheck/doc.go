// Package healthcheck sends active health checks to endpoints, independently of client requests.
//
// The balancer decides which endpoint is checked and when. A [Checker] enforces limits on top of that: the number of concurrent checks,
// one check per endpoint at a time, and a timeout. It chooses one of the platform's two requests: one returns a load report, the other
// only confirms that the endpoint responds. If endpoints support neither, the Checker stops sending checks for the rest of the process.
// A [Transport] sends the request.
package healthcheck
