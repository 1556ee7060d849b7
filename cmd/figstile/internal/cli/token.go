package cli

import (
	"fmt"

	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/admin"
)

// tokenPrefix lets scanners for leaked secrets recognise a token.
const tokenPrefix = "figstile_"

// createdToken is what adding a token prints: the only time it is shown.
type createdToken struct {
	admin.WriteResult
	Token  string `json:"token"`
	Digest string `json:"digest"`
}

// addToken makes a token here and sends its digest. The token is printed also
// if the outcome is unknown, since the change may be in force.
func (a *app) addToken(flags expectFlag, path string) error {
	token := tokenPrefix + a.random()
	digest := config.DigestOf(token).String()
	var done admin.WriteResult
	err := a.client.apply(a.ctx, flags.newChange("POST", path, admin.AddToken{Digest: digest}), &done)
	if err != nil && !isUnknownOutcome(err) {
		return err
	}
	created := createdToken{WriteResult: done, Token: token, Digest: digest}
	showErr := a.out.show(created, func() {
		if err == nil {
			fmt.Fprintln(a.out.w, writeResultLine(done))
		}
		fmt.Fprintf(a.out.w, "token:  %s\ndigest: %s\n", token, digest)
	})
	if err != nil {
		return err
	}
	return showErr
}
