// Package e2e runs the binary's processes for real: kills, freezes and cuts.
// It has tests only.
package e2e
