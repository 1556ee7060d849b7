// Package e2e tests the two binaries as separate processes, with the
// stand-ins as separate processes too. It holds no product code.
package e2e
