// Package balance chooses the target of a request: by the session's home in a
// rendezvous order, under a bound on load, avoiding targets that fail or answer
// slowly. It does no I/O. The caller passes in the time.
//
// Source: docs/design/platform.md, "Choosing a target".
//
// Overview of the files:
//
//   - choose.go: the choice of a request's target; room.go: how many requests fit
//   - list.go, service.go: the registered targets; target.go: the state of one
//   - health.go: ejection of failing targets; suspects.go: exclusion of targets that
//     several gateways suspect; paths.go: data centres behind a bad network path
//   - cold.go, evacuation.go: targets that have just started; data centres that the
//     operators evacuate
//   - announcement.go, backoff.go: what targets announce in their answers, and the
//     backoff that they request
//   - loads.go, totals.go: other gateways' requests in flight, by target and by service
//   - versions.go, admitted.go, topscored.go: which versions may take a request, and how
//     many targets of a version on trial do
//   - holders.go, placements.go, directory.go, fills.go: where prompts are cached or
//     being prefilled
package balance
