package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/trace"
	"github.com/figstile/figstile/transport/host"
)

// These are the suffixes of the files of one recorded run.
const (
	// TraceSuffix is the suffix of the file with the recorded steps.
	TraceSuffix = ".jsonl"
	// TraceOptionsSuffix is the suffix of the file with the scheduler's
	// options. With other options the same events may lead to other actions.
	TraceOptionsSuffix = ".options.json"
)

// traceFile records the scheduler's steps of one run; the zero value records
// nothing. It is for tests and investigations, because the VM of a router has
// no disk to keep recordings.
type traceFile struct {
	file     *os.File
	recorder *trace.Recorder
}

// openTrace returns the scheduler, wrapped in a recorder if the options ask for
// a trace.
func (d *Daemon) openTrace(options scheduler.Options) (host.Stepper, error) {
	if d.options.TraceDir == "" {
		return d.scheduler, nil
	}
	base := filepath.Join(d.options.TraceDir, fmt.Sprintf("%s.%d", d.options.Router, d.incarnation))
	encoded, err := json.Marshal(options)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(base+TraceOptionsSuffix, encoded, 0o600); err != nil {
		return nil, err
	}
	d.trace.file, err = os.OpenFile(base+TraceSuffix, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	d.trace.recorder = trace.NewRecorder(d.trace.file, d.options.router(), d.incarnation)
	return trace.RecordSteps(d.scheduler, d.trace.recorder), nil
}

// recordVersions records the versions of the settings that came into force.
func (t *traceFile) recordVersions(self scheduler.Peer, versions map[string]uint64) {
	if t.recorder == nil {
		return
	}
	at := time.Now().Round(0)
	for key, version := range versions {
		t.recorder.Record(trace.ConfigRecord{
			Router:      self.Router,
			Incarnation: self.Incarnation,
			Key:         key,
			Version:     version,
			At:          at,
		})
	}
}

func (t *traceFile) close() error {
	if t.recorder == nil {
		return nil
	}
	return errors.Join(t.recorder.Close(), t.file.Close())
}
