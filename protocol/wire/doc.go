// Package wire converts between the scheduler's events and actions and the
// messages of package peerpb, and frames those messages on a byte stream. It
// checks everything that a peer says against bounds before a decider sees it.
package wire
