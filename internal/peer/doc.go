// Package peer lets gateways report to each other what each needs to know of the
// others: requests in flight at targets, where parts of prompts are cached,
// how fresh the configuration is, and the content of the store itself for a
// gateway that can't reach it.
//
// Beats are datagrams and may be lost; nothing depends on a single one. The
// store's content goes over links. Source: docs/design/platform.md, "Peers".
//
// Where to look:
//
//   - service.go: rounds of beats, and receiving; beat.go: what a beat says
//   - standing.go: what other parts ask of the others; quarantine.go: crash records
//   - table.go: who the others are; tree.go: who gets the store's changes from whom
//   - replica.go: fetching the store's content from another gateway
//   - directory.go: asking where a prompt is cached; refused.go: targets that are gone
package peer
