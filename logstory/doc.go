// Package logstory explains what happened to one request. It parses the logs of
// routers, whose lines consist of key=value pairs, selects the lines with the
// request's id, and describes in plain sentences why the request ended as it did.
package logstory
