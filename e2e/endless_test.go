package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/transport/edge"
)

// endlessEngine is a stand-in for an engine each of whose answers has a
// beginning and then the same bytes until the router closes the connection.
type endlessEngine struct {
	id       string
	listener net.Listener
	// beginnings and parts are the beginnings and the repeated bytes by path.
	beginnings, parts map[string]string
	// pause is the time between two parts.
	pause time.Duration
}

const (
	endlessHead    = "HTTP/1.1 200 OK\r\nServer-Signature: sig\r\nAttempt-Id: a1\r\n"
	endlessEvents  = endlessHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n"
	endlessPartLen = 64 << 10
)

func startEndlessEngine(t *testing.T, s *objectStore, pause time.Duration) *endlessEngine {
	t.Helper()
	e := &endlessEngine{
		id:         "i-endless",
		beginnings: map[string]string{"/guides/event": endlessEvents, "/guides/lines": endlessEvents, "/pages/body": endlessHead + "\r\n", "/pages/head": endlessHead},
		parts:      map[string]string{"/guides/event": "\x00", "/guides/lines": "\n", "/pages/body": "\x00", "/pages/head": "A: b\r\n"},
		pause:      pause,
	}
	var err error
	e.listener, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = e.listener.Close() })
	go func() {
		for {
			conn, err := e.listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	s.put(edge.KindUpstream, e.id, map[string]any{
		"Service": "engines", "Address": e.listener.Addr().String(), "Zone": "z1", "BatchSlots": 1000, "State": "ready", "born": 1, "ColdRemainingMs": 0,
	})
	return e
}

func (e *endlessEngine) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	part := bytes.Repeat([]byte(e.parts[request.URL.Path]), endlessPartLen/len(e.parts[request.URL.Path]))
	_, err = io.WriteString(conn, e.beginnings[request.URL.Path])
	for err == nil {
		_, err = conn.Write(part)
		time.Sleep(e.pause)
	}
}

// peakMemoryMb returns the largest resident memory of a process in MB.
func peakMemoryMb(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, rest, ok := strings.Cut(string(text), "VmHWM:")
	require.True(t, ok)
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kb >> 10
}

// A hundred answers at once have no end, in each of four places. The router
// must stay within the memory of the smallest VM, and answer the requests of
// other callers. Before, a single one of them took it down.
func TestEdgeSurvivesEndlessAnswers(t *testing.T) {
	const callers = 100
	s := startObjectStore(t)
	s.put(edge.KindConfig, "main", edgeConfig(1, "k1"))
	startEndlessEngine(t, s, 0)
	r := startEdgeRouterOn(t, s.address(), smallestVM, 0)
	r.awaitReady(t)
	for _, path := range []string{"/guides/event", "/guides/lines", "/pages/body", "/pages/head"} {
		var answers sync.WaitGroup
		for range callers {
			answers.Go(func() {
				response, err := r.postWithin(t, path, "k1", 3*time.Second)
				if err != nil {
					return
				}
				defer response.Body.Close()
				_, err = io.Copy(io.Discard, response.Body)
				if response.StatusCode == http.StatusOK && err == nil {
					t.Errorf("%s: an answer without end was passed on as complete", path)
				}
			})
		}
		answers.Wait()
		r.awaitReady(t)
		require.Less(t, peakMemoryMb(t, r.cmd.Process.Pid), smallestVM.MemoryMb, path)
	}
}
