// Package logstory tells what happened to one request from the logs of the
// routers that it met: it reads lines of key=value pairs, picks those that bear
// the request's id, and says in words what decided its end.
package logstory
