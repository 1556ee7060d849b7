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

// Trial is a load on a fleet and what came of it.
type Trial struct {
	Result   *loadgen.Result
	Verdicts []Verdict
}

// Held tells whether every promise held.
func (t Trial) Held() bool { return allHeld(t.Verdicts) }

// Try sends a load. Meanwhile an engine leaves for a while and an operator
// changes the settings; then every promise is checked.
func (f *Fleet) Try(ctx context.Context, w loadgen.Workload) (Trial, error) {
	evidence := Evidence{Services: f.services, Repeatable: map[state.Service]bool{f.options.Sample.Engines: true}}
	seconds := time.Duration(w.Seconds * float64(time.Second))
	var group sync.WaitGroup
	group.Go(func() { evidence.Leaving = f.letEngineLeave(ctx, seconds/leaveAt, seconds) })
	group.Go(func() { evidence.Change = f.changeSettings(ctx, seconds/changeAt) })
	res, err := loadgen.Run(ctx, loadgen.Options{Workload: w, Fleet: f.Describe()})
	if err != nil {
		return Trial{}, err
	}
	group.Wait()
	evidence.Records = res.Records
	evidence.Ledgers = f.Entries()
	evidence.Figures = res.Services
	evidence.Change.After = f.versions()
	evidence.Change.Reverted = res.Reverted()
	return Trial{Result: res, Verdicts: evidence.Check()}, nil
}

// The parts of the run after which an engine leaves and settings change.
const (
	leaveAt  = 4
	changeAt = 3
)

// letEngineLeave has the first engine ask for no new work until the end.
func (f *Fleet) letEngineLeave(ctx context.Context, from, to time.Duration) Leaving {
	if pause.For(ctx, from) != nil {
		return Leaving{}
	}
	leaving := Leaving{Upstream: f.urls[f.options.Sample.Engines][0].Name, From: time.Now()}
	f.engines[0].SetDraining(true)
	_ = pause.For(ctx, to-from)
	leaving.To = time.Now()
	f.engines[0].SetDraining(false)
	return leaving
}

// newTeam is created during the run. A team without workspaces takes nothing
// from the others, so that the shares of the run stay as they are.
const newTeam = "visitas"

func (f *Fleet) changeSettings(ctx context.Context, after time.Duration) Change {
	change := Change{Key: config.RootKey}
	if pause.For(ctx, after) != nil {
		return change
	}
	began := time.Now()
	written, err := f.createTeam(ctx)
	if err != nil {
		change.Problem = err.Error()
		return change
	}
	change.Written = written
	for !f.allHave(config.RootKey, written) && time.Since(began) <= changeWithin {
		if pause.For(ctx, readyInterval) != nil {
			break
		}
	}
	change.Took = time.Since(began)
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
	response, err := http.DefaultClient.Do(authorized(request))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	var done admin.WriteResult
	if response.StatusCode >= http.StatusBadRequest {
		return 0, fmt.Errorf("devfleet: %s: %s", response.Status, text)
	}
	err = json.Unmarshal(text, &done)
	return done.Version, err
}

func (f *Fleet) allHave(key string, version uint64) bool {
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
