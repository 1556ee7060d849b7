package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startLongAnswers starts an upstream whose answers have the given size in
// bytes.
func startLongAnswers(t *testing.T, size int) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) }))
	t.Cleanup(server.Close)
	return server.URL
}

func sendTo(t *testing.T, client *Client, url string) *Answer {
	t.Helper()
	answer, err := client.Send(context.Background(), Attempt{ID: attemptID, BaseURL: url, Target: "/", Method: http.MethodGet})
	require.NoError(t, err)
	t.Cleanup(answer.Close)
	return answer
}

// A long answer that was received in large parts waited for ever, as a part
// larger than the shared rate's burst is never due.
func TestLongAnswerInLargePartsArrivesAtTheSharedRate(t *testing.T) {
	const size = 4 * longAnswerBytes
	client := NewClient(ClientOptions{LongAnswerRate: 64 << 20})
	defer client.Close()
	answer := sendTo(t, client, startLongAnswers(t, size))
	buffer := make([]byte, size)
	n, err := io.ReadFull(answer, buffer)
	require.NoError(t, err)
	require.Equal(t, size, n)
}

func TestAnswerBeyondItsLimitBreaksOff(t *testing.T) {
	const limit = 2 * longAnswerBytes
	client := NewClient(ClientOptions{MaxAnswerBytes: limit})
	defer client.Close()
	url := startLongAnswers(t, limit+1)
	for range 2 {
		n, err := io.Copy(io.Discard, sendTo(t, client, url))
		require.ErrorIs(t, err, ErrTooLong)
		require.NotErrorIs(t, err, ErrMalformed)
		require.Equal(t, StageTruncated, StageOf(err))
		require.LessOrEqual(t, n, int64(limit+maxReadBytes))
	}
}

// Answers on one connection are limited one by one.
func TestAnswersOnOneConnectionHaveALimitEach(t *testing.T) {
	const size = longAnswerBytes + longAnswerBytes/2
	client := NewClient(ClientOptions{MaxAnswerBytes: 2 * longAnswerBytes})
	defer client.Close()
	url := startLongAnswers(t, size)
	for range 5 {
		answer := sendTo(t, client, url)
		n, err := io.Copy(io.Discard, answer)
		require.NoError(t, err)
		require.EqualValues(t, size, n)
		answer.Close()
	}
}

// An attempt that ends while a long answer waits for its turn must not wait any
// longer, and its end is not the upstream's.
func TestCloseEndsAWaitForTheSharedRate(t *testing.T) {
	inner, other := net.Pipe()
	defer other.Close()
	conn := newFencedConn(inner, newReceiveLimits(ClientOptions{LongAnswerRate: 1}))
	conn.received.Store(longAnswerBytes)
	conn.lastRead.Store(maxReadBytes)
	conn.limits.longRate.AllowN(time.Now(), maxReadBytes)
	ended := make(chan error)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	}()
	require.NoError(t, conn.Close())
	require.True(t, errors.Is(<-ended, net.ErrClosed))
	require.False(t, conn.endedByPeer.Load())
}
