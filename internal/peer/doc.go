// Package peer exchanges between gateways what each needs to know of the others: requests in
// flight at targets, where parts of prompts are cached, how fresh the configuration is, and the
// content of the store itself for a gateway that can't reach it.
//
// Heartbeats are datagrams and may be lost. Nothing depends on a single one. The content of the
// store is sent over links. Source: docs/design/platform.md, "Peers".
//
// Where to look:
//
//   - service.go: rounds of heartbeats, and receiving; heartbeat.go: content of a heartbeat
//   - status.go: queries of other packages; quarantine.go: crash records
//   - table.go: the other gateways; tree.go: how the store's changes are passed on
//   - source.go: which gateway a starting one follows; rollouts.go: reports and grants of rollouts
//   - replica.go: fetching the store's content from another gateway
//   - origins.go: which versions began streams; keepers.go: which gateways keep a record
//   - directory.go: looking up where a prompt is cached; refused.go: targets that are gone
package peer
