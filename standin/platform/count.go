package platform

import (
	"net/http"
	"sync/atomic"
)

// countingWriter counts the bytes of an answer's body.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

// Write adds the bytes written to the count and passes the text on.
func (w *countingWriter) Write(text []byte) (int, error) {
	n, err := w.ResponseWriter.Write(text)
	w.bytes.Add(int64(n))
	return n, err
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
