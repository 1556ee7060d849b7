package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// newAttempt returns an attempt id that no other request has.
func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastAttempt.Add(1)) }

// client is a client with one kept connection.
type client struct {
	router string
	conn   net.Conn
	reader *bufio.Reader
	// gap is the time without a byte after which the client leaves; 0 means that
	// it only leaves at its deadline.
	gap time.Duration
	// until is when the client leaves at the latest.
	until time.Time
}

// gapReader limits the time that a read waits for the next bytes.
type gapReader struct {
	net.Conn
	client *client
}

// Read implements io.Reader.
func (r *gapReader) Read(p []byte) (int, error) {
	if gap := r.client.gap; gap > 0 {
		at := time.Now().Add(gap)
		if r.client.until.Before(at) {
			at = r.client.until
		}
		if err := r.SetReadDeadline(at); err != nil {
			return 0, err
		}
	}
	return r.Conn.Read(p)
}

// reply is what a client got for a request.
type reply struct {
	status    int
	signature string
	body      []byte
	// err is set if the connection ended or fell silent before the end of the
	// answer.
	err error
}

// call sends a request with a body and reads its answer.
func (c *client) call(path, attempt string, deadline time.Duration, header string, body []byte) reply {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.router, time.Second)
		if err != nil {
			return reply{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(&gapReader{conn, c})
	}
	got := c.exchange(path, attempt, deadline, header, body)
	if got.err != nil {
		c.close()
	}
	return got
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) exchange(path, attempt string, deadline time.Duration, header string, body []byte) reply {
	c.until = time.Now().Add(deadline + time.Second)
	if err := c.conn.SetDeadline(c.until); err != nil {
		return reply{err: err}
	}
	head := "POST " + path + " HTTP/1.1\r\nHost: " + hostname + "\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: " +
		strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n" + header + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	if _, err := c.conn.Write(append([]byte(head), body...)); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return reply{err: err}
	}
	got := reply{status: response.StatusCode, signature: response.Header.Get("Server-Signature")}
	got.body, got.err = io.ReadAll(response.Body)
	if response.Close {
		c.close()
	}
	return got
}
