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
	// maxBusyTime bounds the busy time an upstream may state.
	maxBusyTime = 24 * time.Hour
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
	weights      config.CostWeights
	engine       bool
	promptTokens int64
	started      time.Time
	reported     state.Cost
	reportedAt   time.Time
}

func newMeter(j *job, now time.Time) meter {
	return meter{
		weights:      j.service.Cost.WithDefaults(j.service.Kind),
		engine:       j.isEngine(),
		promptTokens: j.promptTokens,
		started:      now,
		reportedAt:   now,
	}
}

// streamedCost returns the cost of an engine's attempt after some tokens. The
// prompt is left to the end, when the engine's own count corrects the guess:
// what was reported cannot be taken back from counters that only grow.
func (m *meter) streamedCost(tokens int64) state.Cost {
	return tokenCost(m.weights, 0, tokens)
}

// dueReport returns the cost to report now: once a second, or when the cost has
// doubled, so that a burst of short work shows at once.
func (m *meter) dueReport(total state.Cost, now time.Time) (state.Cost, bool) {
	if total <= m.reported {
		return 0, false
	}
	if now.Sub(m.reportedAt) < progressInterval && total < 2*m.reported {
		return 0, false
	}
	unreported := total - m.reported
	m.reported = total
	m.reportedAt = now
	return unreported, true
}

// unreportedCost returns what remains to be charged, never less than zero.
func (m *meter) unreportedCost(total state.Cost) state.Cost {
	return max(total-m.reported, 0)
}

// totalCost returns the whole cost of an attempt that ended at now.
func (m *meter) totalCost(events *eventScanner, header http.Header, now time.Time) state.Cost {
	switch {
	case !m.engine:
		return busyCost(m.weights, m.busyTime(header, now))
	case events == nil:
		return tokenCost(m.weights, m.promptTokens, 0)
	case events.usage != nil:
		return tokenCost(m.weights, events.usage.PromptTokens, events.usage.CompletionTokens)
	default:
		return tokenCost(m.weights, m.promptTokens, events.tokens)
	}
}

// busyTime prefers the worker's own figure: the measured time holds the network
// and a slow caller too.
func (m *meter) busyTime(header http.Header, now time.Time) time.Duration {
	millis, err := strconv.ParseUint(header.Get(HeaderBusy), 10, 32)
	busy := time.Duration(millis) * time.Millisecond
	if err != nil || busy > maxBusyTime {
		return now.Sub(m.started)
	}
	return busy
}
