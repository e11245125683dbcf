// Package gateway serves requests of any front end through one core: it finds the route and
// workspace of a request, has the balancer choose targets, and carries out the decisions of package
// delivery until the caller has a final answer.
//
// Front ends, senders and stores are passed in; docs/ARCHITECTURE.md shows the path of one request.
//
// Where to look:
//
//   - gateway.go: the checks before a request is sent anywhere
//   - call.go: a request from admission to its end; call_end.go: the ends; queue.go: its wait for
//     capacity
//   - attempt.go: one attempt at one target; silence.go: abandoning a silent target
//   - versions.go: the target versions that an attempt may use; origins.go: the version that a
//     resumed stream is bound to; unresponsive.go: ending streams on targets that are gone
//   - stream.go, events.go, buffered.go: passing on the two kinds of answers
//   - record.go: what is logged of a request
package gateway
