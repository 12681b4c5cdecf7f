package client

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"mosslead/internal/registry/api"
)

// Calls on duties are tried once each: who holds one or waits for it has a pace of its own (internal/lease). A call whose
// answer did not come has CodeUnknown, and the next goes to another replica.

// Take asks for a duty; the grant tells who holds it.
func (c *Client) Take(ctx context.Context, claim api.Claim) (api.Grant, error) {
	return c.duty(ctx, "take", claim)
}

// RenewDuty lengthens a lease; the grant tells who holds the duty.
func (c *Client) RenewDuty(ctx context.Context, claim api.Claim) (api.Grant, error) {
	return c.duty(ctx, "renew", claim)
}

// Release gives a duty up.
func (c *Client) Release(ctx context.Context, claim api.Claim) error {
	_, err := c.duty(ctx, "release", claim)
	return err
}

// Duties are all that are held. sure asks for what is certain to be the newest.
func (c *Client) Duties(ctx context.Context, sure bool) (all api.Duties, err error) {
	return all, c.call(ctx, true, http.MethodGet, "/v1/duties"+consistent(sure), nil, &all)
}

func (c *Client) duty(ctx context.Context, op string, claim api.Claim) (g api.Grant, err error) {
	at := c.at()
	err = c.once(ctx, at, "/v1/duties/"+url.PathEscape(claim.Name)+"/"+op, claim, &g)
	if err == nil {
		return g, nil
	}
	var said *api.Failure
	known := errors.As(err, &said)
	if !known || said.Code == api.CodeNoLeader || said.Code == api.CodeUnknown {
		c.next(at)
	}
	if !known && !notSent(err) {
		err = api.Fail(api.CodeUnknown, "%v", err)
	}
	return g, err
}
