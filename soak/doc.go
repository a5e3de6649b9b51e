// Package soak holds a randomized test that runs a hosted deployment as separate
// processes, injects faults from outside them, and checks what callers, operators
// and back ends see.
package soak
