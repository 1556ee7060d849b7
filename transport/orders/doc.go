// Package orders gives orders to engines. It performs the actions of the state
// machine in package fencing, using the platform's store and an engine's HTTP
// interface.
package orders
