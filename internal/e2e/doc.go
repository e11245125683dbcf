// Package e2e tests the binary's real processes, which it kills, freezes and disconnects. It
// has tests only.
package e2e
