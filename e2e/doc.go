// Package e2e tests the two binaries as separate processes, with the stand-ins
// as separate processes too. It contains no product code.
package e2e
