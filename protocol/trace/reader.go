package trace

import (
	"encoding/json"
	"fmt"
	"io"
)

// Reader reads the records of a trace.
type Reader struct {
	decoder *json.Decoder
	lines   int
}

// NewReader returns a reader of JSON lines.
func NewReader(in io.Reader) *Reader {
	return &Reader{decoder: json.NewDecoder(in)}
}

// Next returns the next record. It returns io.EOF at the end,
// io.ErrUnexpectedEOF if the trace ends within a line, and a *LineError for a
// line that it cannot decode.
func (r *Reader) Next() (Record, error) {
	var l line
	r.lines++
	if err := r.decoder.Decode(&l); err != nil {
		return nil, err
	}
	record, err := l.decode()
	if err != nil {
		return nil, &LineError{Line: r.lines, Err: err}
	}
	return record, nil
}

// LineError reports a line that cannot be decoded.
type LineError struct {
	Line int
	Err  error
}

// Error returns the number of the line and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("trace: line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

func (l line) decode() (Record, error) {
	switch l.Kind {
	case KindStep:
		return decodeAs[StepRecord](l.Record)
	case KindCaller:
		return decodeAs[CallerRecord](l.Record)
	case KindUpstream:
		return decodeAs[UpstreamRecord](l.Record)
	case KindLeaving:
		return decodeAs[LeavingRecord](l.Record)
	case KindConfig:
		return decodeAs[ConfigRecord](l.Record)
	default:
		return nil, &TypeError{string(l.Kind)}
	}
}

func decodeAs[T Record](data []byte) (Record, error) {
	var record T
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, err
	}
	return record, nil
}
