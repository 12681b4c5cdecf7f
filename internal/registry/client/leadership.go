package client

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"mosslead/internal/registry/api"
)

// Calls on leaderships are tried once each: who holds one or waits for it has a pace of its own (internal/lease). A call whose
// answer did not come has CodeUnknown, and the next goes to another replica.

// AcquireLeadership claims a leadership; the grant names its holder. CodeOutcomeUnknown: no response came.
func (c *Client) AcquireLeadership(ctx context.Context, claim api.LeadershipClaim) (api.LeadershipGrant, error) {
	return c.leadership(ctx, "take", claim)
}

// RenewLeadership extends a lease; the grant names the holder.
func (c *Client) RenewLeadership(ctx context.Context, claim api.LeadershipClaim) (api.LeadershipGrant, error) {
	return c.leadership(ctx, "renew", claim)
}

// ReleaseLeadership releases a leadership.
func (c *Client) ReleaseLeadership(ctx context.Context, claim api.LeadershipClaim) error {
	_, err := c.leadership(ctx, "release", claim)
	return err
}

// Leaderships are all that are held. sure asks for what is certain to be the newest.
func (c *Client) Leaderships(ctx context.Context, sure bool) (all api.Leaderships, err error) {
	return all, c.call(ctx, true, http.MethodGet, "/v1/duties"+consistent(sure), nil, &all)
}

func (c *Client) leadership(ctx context.Context, op string, claim api.LeadershipClaim) (g api.LeadershipGrant, err error) {
	at := c.at()
	err = c.once(ctx, at, "/v1/duties/"+url.PathEscape(claim.Name)+"/"+op, claim, &g)
	if err == nil {
		return g, nil
	}
	var failure *api.Error
	known := errors.As(err, &failure)
	if !known || failure.Code == api.CodeNoLeader || failure.Code == api.CodeOutcomeUnknown {
		c.next(at)
	}
	if !known && !notSent(err) {
		err = api.Errorf(api.CodeOutcomeUnknown, "%v", err)
	}
	return g, err
}
