// Package emulator emulates the users' platform for tests and trials: its metadata store,
// servers of both kinds, and the operator's writes. It speaks the platform's published protocol
// and misbehaves on request. It does not model time or cost.
package emulator
