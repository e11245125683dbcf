// Package soak holds a randomized soak of gateways: the real program as
// separate processes on loopback, before the stand-in of the platform, under
// faults from outside that a seed draws. It has tests only; docs/SOAK.md says
// how to run it.
package soak
