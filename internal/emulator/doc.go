// Package emulator is a stand-in of the users' platform for tests and trials:
// its metadata store, servers of both kinds, and the operator's writes. It
// speaks the platform's published protocol and misbehaves on request. It is
// no model of time or of cost.
package emulator
