// Package protocol contains the formats of data that leaves a process: peerpb
// holds the messages between routers, and trace the recorded events and actions
// of the schedulers.
package protocol
