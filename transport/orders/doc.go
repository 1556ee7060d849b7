// Package orders gives orders to engines: it performs the decisions of
// package fencing against the platform's store and an engine's HTTP interface.
package orders
