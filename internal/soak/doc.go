// Package soak contains a randomized soak test of gateways. It runs the real program as
// separate processes on loopback, against the emulator of the platform, under external faults
// that are drawn from a seed. It has tests only; docs/SOAK.md describes how to run it.
package soak
