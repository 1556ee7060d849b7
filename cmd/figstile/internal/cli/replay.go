package cli

import (
	"errors"
	"fmt"

	"github.com/figstile/figstile/replay"
)

// errReplayFailed is returned if a check failed, after the report has been
// printed.
var errReplayFailed = errors.New("replay: a trace or an outcome failed")

type replayCommand struct {
	Dir string `arg:"" help:"Directory of recorded traces." type:"existingdir"`
}

func (c replayCommand) Run(a *app) error {
	report, err := replay.CheckDir(c.Dir)
	if err != nil {
		return err
	}
	if err := a.out.show(report, func() { fmt.Fprintln(a.out.w, report) }); err != nil {
		return err
	}
	if report.Failed > 0 {
		return errReplayFailed
	}
	return nil
}
