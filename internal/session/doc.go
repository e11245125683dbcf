// Package session holds whole sessions of the system in virtual time, compared
// with golden files that read like an on-call person's log. It has tests only.
//
// Routers and agents are the real ones; between them is link's memory network,
// and around them the stand-ins. Each line of a golden file is something that
// a caller, an operator, a target or the store saw.
package session
