package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

const (
	// maxTokens bounds a token count that came from outside; no context
	// window is near it.
	maxTokens = 1 << 30
	// bytesPerToken is the usual length of a token in Latin scripts.
	bytesPerToken = 4
	// progressInterval bounds how often a running request reports cost, so
	// that control traffic does not grow with the speed of engines.
	progressInterval = time.Second
	// maxBusy bounds the busy time an upstream may state.
	maxBusy = 24 * time.Hour
)

func tokenCost(w config.CostWeights, input, output int64) state.Cost {
	units := float64(input)*w.InputToken + float64(output)*w.OutputToken
	return state.Cost(units * float64(state.CostUnit))
}

func busyCost(w config.CostWeights, busy time.Duration) state.Cost {
	return state.Cost(busy.Seconds() * w.BusySecond * float64(state.CostUnit))
}

// meter turns what an attempt shows of itself into cost, and spaces the
// reports of it.
type meter struct {
	weights  config.CostWeights
	engine   bool
	prompt   int64
	started  time.Time
	reported state.Cost
	at       time.Time
}

func newMeter(j *job, now time.Time) meter {
	return meter{
		weights: j.service.Cost.WithDefaults(j.service.Kind),
		engine:  j.engine(),
		prompt:  j.promptTokens,
		started: now,
		at:      now,
	}
}

// streamed returns the cost of an engine's attempt after some tokens. The
// prompt is left to the end, when the engine's own count corrects the guess:
// what was reported cannot be taken back from counters that only grow.
func (m *meter) streamed(tokens int64) state.Cost {
	return tokenCost(m.weights, 0, tokens)
}

// due returns the cost to report now: once a second, or when the cost has
// doubled, so that a burst of short work shows at once.
func (m *meter) due(total state.Cost, now time.Time) (state.Cost, bool) {
	if total <= m.reported {
		return 0, false
	}
	if now.Sub(m.at) < progressInterval && total < 2*m.reported {
		return 0, false
	}
	since := total - m.reported
	m.reported = total
	m.at = now
	return since, true
}

// final returns what remains to be charged, never less than zero.
func (m *meter) final(total state.Cost) state.Cost {
	return max(total-m.reported, 0)
}

// used returns the whole cost of an attempt that ended at now.
func (m *meter) used(scan *eventScanner, header http.Header, now time.Time) state.Cost {
	switch {
	case !m.engine:
		return busyCost(m.weights, m.busy(header, now))
	case scan == nil:
		return tokenCost(m.weights, m.prompt, 0)
	case scan.usage != nil:
		return tokenCost(m.weights, scan.usage.PromptTokens, scan.usage.CompletionTokens)
	default:
		return tokenCost(m.weights, m.prompt, scan.tokens)
	}
}

// busy prefers the worker's own figure: the measured time holds the network
// and a slow caller too.
func (m *meter) busy(header http.Header, now time.Time) time.Duration {
	millis, err := strconv.ParseUint(header.Get(HeaderBusy), 10, 32)
	busy := time.Duration(millis) * time.Millisecond
	if err != nil || busy > maxBusy {
		return now.Sub(m.started)
	}
	return busy
}
