package cli

import (
	"fmt"

	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/admin"
)

// tokenPrefix starts every token, so that scanners for leaked secrets can
// recognise it.
const tokenPrefix = "figstile_"

// createdToken is the output of the commands that add a token. The token is
// printed only there.
type createdToken struct {
	admin.WriteResult
	Token  string `json:"token"`
	Digest string `json:"digest"`
}

// addToken generates a token locally and sends only its digest to the router. It
// prints the token even if the outcome is unknown, since the change may be in
// force.
func (a *app) addToken(flags expectFlag, path string) error {
	token := tokenPrefix + a.random()
	digest := config.DigestOf(token).String()
	var writeResult admin.WriteResult
	err := a.client.apply(a.ctx, flags.newChange("POST", path, admin.AddToken{Digest: digest}), &writeResult)
	if err != nil && !isUnknownOutcome(err) {
		return err
	}
	created := createdToken{WriteResult: writeResult, Token: token, Digest: digest}
	showErr := a.out.show(created, func() {
		if err == nil {
			fmt.Fprintln(a.out.w, writeResultLine(writeResult))
		}
		fmt.Fprintf(a.out.w, "token:  %s\ndigest: %s\n", token, digest)
	})
	if err != nil {
		return err
	}
	return showErr
}
