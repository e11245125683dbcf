// Package rollout moves the traffic of a service from one version of its targets to another when
// the operators order it, and back if that version is bad. Only the controller reads a clock, and
// nothing in the package uses the network: times are passed in.
//
// Files: order.go and record.go, an order and its stored record; stage.go, stages, reports and
// grants; gate.go, service.go and trial.go, one gateway's part; share.go, its part of the share;
// pace.go, which answers are slow; tallies.go, its counts of answers; judge.go, route_tests.go,
// sprt.go and baseline.go, whether a version is bad; decider.go and decider_commits.go, the steps
// of a rollout; gateway_reports.go, the reports of the gateways; times.go, times and limits;
// controller.go, which runs the deciders in a process; dependencies.go, the interfaces that it
// needs; status.go, what operators see. Source: docs/design/rollouts.md.
package rollout
