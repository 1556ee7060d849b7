// Package placement chooses the upstream that will answer a request soonest,
// and estimates how soon that is. Its view of each upstream combines this
// router's own requests there, the loads that peers last reported, and the
// upstream's speed learned from earlier answers. The package does no I/O and
// takes the time as an argument.
//
// An engine prefills prompts one after the other and generates tokens for all
// running requests together. The time to a first token is therefore the number
// of pending prefill tokens, plus those of the request itself, divided by the
// prefill rate. Prompts share parts, and a part that an engine has cached need
// not be prefilled again. Repeating the prefill of a shared part is therefore
// weighted at several times its duration. If a router knows of no engine that
// has cached a part, it sends the part to the first engine in a rendezvous hash,
// on which all routers agree without exchanging a message.
package placement
