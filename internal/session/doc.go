// Package session runs complete sessions of the system in virtual time and compares their
// transcripts with golden files, which read like an on-call engineer's log. It has tests only.
//
// Routers and agents are the real implementations. They communicate over link's in-memory
// network, and their surroundings are emulated. Each line of a golden file is an observation of
// a caller, an operator, a target or the store.
package session
