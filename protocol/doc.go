// Package protocol is the root of what travels between processes: peerpb holds
// the messages between routers, trace the recorded events of the deciders.
package protocol
