package admin

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/settings"
)

// defaultRetryAfter is the time in Retry-After if a result code asks the client
// to retry and the error does not state when.
const defaultRetryAfter = 2 * time.Second

// resultError is an error with a result code.
type resultError interface {
	error
	Result() result.Result
}

// resultOf returns the result for any error of this package and of package
// settings. For an unexpected error it is Internal, without details, so that
// the client learns nothing about the implementation.
func resultOf(err error) result.Result {
	var known result.Result
	if errors.As(err, &known) {
		return known
	}
	var coded resultError
	if errors.As(err, &coded) {
		return coded.Result()
	}
	var faulty *config.Error
	if errors.As(err, &faulty) {
		return result.New(result.ConfigInvalid, faultSummary(faulty))
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.New(result.BodyTooLarge, "the body exceeds "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return result.New(result.Internal, "")
}

func faultSummary(e *config.Error) string {
	if len(e.Faults) == 1 {
		return e.Faults[0].String()
	}
	return strconv.Itoa(len(e.Faults)) + " faults; the first: " + e.Faults[0].String()
}

func newProblem(err error) (Problem, result.Result) {
	res := resultOf(err)
	entry := result.Lookup(res.Code)
	p := Problem{
		Type:   "urn:figstile:result:" + entry.Name,
		Title:  entry.Name,
		Status: entry.Status,
		Detail: res.Detail,
		Code:   int(res.Code),
		Ran:    res.Ran.String(),
	}
	if p.Detail == "" {
		p.Detail = entry.Meaning
	}
	p.addDetails(err)
	return p, res
}

func (p *Problem) addDetails(err error) {
	var faulty *config.Error
	if errors.As(err, &faulty) {
		p.Faults = faulty.Faults
	}
	var conflict *settings.ConflictError
	if errors.As(err, &conflict) {
		p.Conflict = conflictDocument(conflict)
	}
	var unknown *settings.UnknownOutcomeError
	if errors.As(err, &unknown) {
		p.ChangeID = unknown.ChangeID
	}
}

func conflictDocument(e *settings.ConflictError) *Conflict {
	c := &Conflict{Key: e.Key, Expected: e.Expected, Version: e.Version}
	if e.Winner.ID != "" {
		c.Winner = &e.Winner
	}
	return c
}

func writeProblem(w http.ResponseWriter, err error) result.Result {
	p, res := newProblem(err)
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	if res.Code == result.Unauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if seconds := retrySeconds(res); seconds > 0 {
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
	return res
}

// retrySeconds returns the seconds for Retry-After. It rounds up, because a
// client that retries too early is refused again.
func retrySeconds(res result.Result) int {
	after := res.RetryAfter
	if after <= 0 && result.Lookup(res.Code).Retry {
		after = defaultRetryAfter
	}
	return int(math.Ceil(after.Seconds()))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
