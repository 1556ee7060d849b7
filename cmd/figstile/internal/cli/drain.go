package cli

import (
	"fmt"

	"github.com/figstile/figstile/transport/admin"
)

type drainCommand struct{}

func (drainCommand) Run(a *app) error {
	var done admin.DrainResult
	if err := a.client.apply(a.ctx, newChange("POST", "/drain", nil), &done); err != nil {
		return err
	}
	return a.out.show(done, func() { fmt.Fprintf(a.out.w, "%s: draining\n", done.Router) })
}
