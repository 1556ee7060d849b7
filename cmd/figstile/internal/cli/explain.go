package cli

import (
	"io"
	"os"

	"github.com/figstile/figstile/logstory"
)

// explainCommand explains from log files what happened to one request. It calls
// no router.
type explainCommand struct {
	ID    string   `arg:"" help:"The request's id, as its caller sent it."`
	Files []string `arg:"" help:"Logs of the routers." type:"existingfile"`
}

// Run prints the timeline of the request.
func (c *explainCommand) Run(a *app) error {
	logs := make(map[string]io.Reader)
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer file.Close()
		logs[name] = file
	}
	timeline, err := logstory.Collect(c.ID, logs)
	if err != nil {
		return err
	}
	return timeline.Write(a.out.w)
}
