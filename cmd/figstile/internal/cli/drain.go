package cli

import (
	"fmt"

	"github.com/figstile/figstile/transport/admin"
)

type drainCommand struct{}

func (drainCommand) Run(a *app) error {
	var drainResult admin.DrainResult
	if err := a.client.apply(a.ctx, newChange("POST", "/drain", nil), &drainResult); err != nil {
		return err
	}
	return a.out.show(drainResult, func() { fmt.Fprintf(a.out.w, "%s: draining\n", drainResult.Router) })
}
