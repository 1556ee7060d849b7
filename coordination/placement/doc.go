// Package placement chooses the upstream that will answer a request soonest,
// and estimates how soon that is. Its picture of each upstream comes from what
// this router has there, what peers last told of theirs, and what earlier
// answers taught about the upstream's speed. No I/O and no clock of its own.
//
// An engine reads prompts one after the other and generates for all running
// requests together, so the time to a first token is the unread prompt tokens
// ahead, plus those of the request itself, over the reading rate. Prompts
// share parts; a part that an engine still holds need not be read again. Reading
// one again therefore counts several times its time, and a part that no engine
// is known to hold goes to the first in a rendezvous hash, on which all routers
// agree without a message.
package placement
