package devfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/figstile/figstile/loadgen"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/admin"
	"github.com/figstile/figstile/transport/pause"
)

// Trial is the result of a load on a fleet.
type Trial struct {
	Result   *loadgen.Result
	Verdicts []Verdict
}

// PromisesKept reports whether every promise held.
func (t Trial) PromisesKept() bool { return allHeld(t.Verdicts) }

// RunTrial sends a load. Meanwhile an engine leaves for a while and an operator
// changes the settings. Then every promise is checked.
func (f *Fleet) RunTrial(ctx context.Context, w loadgen.Workload) (Trial, error) {
	evidence := Evidence{ServiceOf: f.services, Repeatable: map[state.Service]bool{f.options.Sample.Engines: true}}
	duration := time.Duration(w.Seconds * float64(time.Second))
	var group sync.WaitGroup
	group.Go(func() { evidence.Leaving = f.drainFirstEngine(ctx, duration/leaveDivisor, duration) })
	group.Go(func() { evidence.Change = f.changeSettings(ctx, duration/changeDivisor) })
	res, err := loadgen.Run(ctx, loadgen.Options{Workload: w, Fleet: f.Describe()})
	if err != nil {
		return Trial{}, err
	}
	group.Wait()
	evidence.Records = res.Records
	evidence.Ledgers = f.Entries()
	evidence.ServiceMetrics = res.Services
	evidence.Change.FinalVersions = f.versions()
	evidence.Change.VersionRollback = res.FindVersionRollback()
	return Trial{Result: res, Verdicts: evidence.Check()}, nil
}

// leaveDivisor and changeDivisor divide the length of the run. An engine leaves
// after a quarter of the run and the settings change after a third.
const (
	leaveDivisor  = 4
	changeDivisor = 3
)

// drainFirstEngine makes the first engine ask for no new work between two
// times, both counted from the start of the run.
func (f *Fleet) drainFirstEngine(ctx context.Context, from, to time.Duration) Leaving {
	if pause.For(ctx, from) != nil {
		return Leaving{}
	}
	leaving := Leaving{Upstream: f.upstreams[f.options.Sample.Engines][0].Name, From: time.Now()}
	f.engines[0].SetDraining(true)
	_ = pause.For(ctx, to-from)
	leaving.To = time.Now()
	f.engines[0].SetDraining(false)
	return leaving
}

// newTeam is the team created during the run. It has no workspaces and so takes
// nothing from the other teams; the shares of the run stay the same.
const newTeam = "visitas"

func (f *Fleet) changeSettings(ctx context.Context, after time.Duration) Change {
	change := Change{Key: config.RootKey}
	if pause.For(ctx, after) != nil {
		return change
	}
	startedAt := time.Now()
	written, err := f.createTeam(ctx)
	if err != nil {
		change.Failure = err.Error()
		return change
	}
	change.WrittenVersion = written
	for !f.allRoutersHave(config.RootKey, written) && time.Since(startedAt) <= changeTimeout {
		if pause.For(ctx, readyInterval) != nil {
			break
		}
	}
	change.Duration = time.Since(startedAt)
	return change
}

func (f *Fleet) createTeam(ctx context.Context) (uint64, error) {
	body, err := json.Marshal(admin.CreateTeam{Name: newTeam, Share: 1})
	if err != nil {
		return 0, err
	}
	url := f.adminURL(len(f.Routers)-1, admin.Prefix+"/teams")
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(withOperatorToken(request))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	var result admin.WriteResult
	if response.StatusCode >= http.StatusBadRequest {
		return 0, fmt.Errorf("devfleet: %s: %s", response.Status, text)
	}
	err = json.Unmarshal(text, &result)
	return result.Version, err
}

func (f *Fleet) allRoutersHave(key string, version uint64) bool {
	for _, versions := range f.versions() {
		if versions[key] < version {
			return false
		}
	}
	return true
}

func (f *Fleet) versions() map[state.Router]map[string]uint64 {
	all := make(map[state.Router]map[string]uint64)
	for _, router := range f.Routers {
		status := router.Status()
		all[status.Router] = status.Versions
	}
	return all
}
