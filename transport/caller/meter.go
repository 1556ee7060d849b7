package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

const (
	// maxTokens limits the token counts accepted from callers and engines. It
	// is far above the context window of any model.
	maxTokens = 1 << 30
	// bytesPerToken is the usual length of a token in Latin scripts. It is used
	// to estimate the tokens of a text from its length.
	bytesPerToken = 4
	// progressInterval is the minimum interval between two reports of a running
	// request's cost, unless the cost has doubled. Without it, control traffic
	// would grow with the speed of the engines.
	progressInterval = time.Second
	// maxBusyTime limits the busy time that an upstream may state in
	// HeaderBusy.
	maxBusyTime = 24 * time.Hour
)

func tokenCost(w config.CostWeights, input, output int64) state.Cost {
	units := float64(input)*w.InputToken + float64(output)*w.OutputToken
	return state.Cost(units * float64(state.CostUnit))
}

func busyCost(w config.CostWeights, busy time.Duration) state.Cost {
	return state.Cost(busy.Seconds() * w.BusySecond * float64(state.CostUnit))
}

// meter computes the cost of an attempt and decides when to report it.
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

// streamedCost returns the cost of the output tokens that an engine has
// streamed so far. The cost of the prompt is added at the end, when the
// engine's own count replaces the estimate: reported cost cannot be taken back,
// because the counters only grow.
func (m *meter) streamedCost(tokens int64) state.Cost {
	return tokenCost(m.weights, 0, tokens)
}

// dueReport returns the cost to report now. A report is due after
// progressInterval, or when the cost has doubled, so that bursts of short work
// are reported at once.
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

// unreportedCost returns the part of the total that was not reported yet; it is
// never negative.
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

// busyTime returns the worker's processing time. It prefers the worker's own
// value, because the time measured here also includes the network and a slow
// caller.
func (m *meter) busyTime(header http.Header, now time.Time) time.Duration {
	millis, err := strconv.ParseUint(header.Get(HeaderBusy), 10, 32)
	busy := time.Duration(millis) * time.Millisecond
	if err != nil || busy > maxBusyTime {
		return now.Sub(m.started)
	}
	return busy
}
