package main

import (
	"fmt"
	"time"
)

const (
	// engineSlots is BatchSlots of an engine, and pageSlots that of a worker of
	// pages.
	engineSlots = 64
	pageSlots   = 6
	// streamEvents is the number of events of a stream, and eventPause the time
	// between two of them.
	streamEvents = 64
	eventPause   = 15 * time.Millisecond
	// garbleShare is the share of a service's workers that garble, and garbleRate
	// the part of their answers.
	garbleShare = 0.5
	garbleRate  = 0.02
)

// event is the text of an event of a stream.
func event(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, attempt, n)
}

// streamHead is the head of a worker's stream.
func streamHead(worker, attempt string) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Signature: " + worker + "." + attempt +
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func writeChunk(conn *workerConn, data []byte) error {
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(data), data)
	return err
}
