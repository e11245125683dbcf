// Package quarantine detects requests that crash the targets which run them, and decides which
// requests must not be sent again. It does no I/O. Callers pass in the current time.
//
// Source: docs/design/quarantine.md.
package quarantine
