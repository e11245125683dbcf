// Package quarantine finds requests that end the targets which run them, and says which are
// not to be sent any more. It does no I/O; the clock is handed in.
//
// Source: docs/design/quarantine.md.
package quarantine
