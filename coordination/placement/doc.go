// Package placement chooses the upstream that will answer a request soonest,
// and estimates how soon that is. Its picture of each upstream comes from what
// this router has there, what peers last told of theirs, and what earlier
// answers taught about the upstream's speed. No I/O and no clock of its own.
//
// An engine reads prompts one after the other and generates for all running
// requests together, so the time to a first token is the unread prompt tokens
// ahead, plus those of the request itself, over the reading rate. Prompts
// share parts; a part that an engine still holds need not be read again. The
// candidates of a request are therefore the engines that come first in a
// rendezvous hash of its last shared part: all routers agree on them without
// a message, and a part is read by a few engines instead of all.
package placement
