package client

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"mosslead/internal/registry/api"
)

// Calls on leaderships are not retried here: electors have their own intervals (internal/lease). A call whose answer was
// lost fails with CodeOutcomeUnknown, and the next one goes to another replica.

// AcquireLeadership claims a leadership; the grant names its holder.
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

// Leaderships returns all that are held; linearizable asks for a read that is certain to be the newest.
func (c *Client) Leaderships(ctx context.Context, linearizable bool) (all api.Leaderships, err error) {
	return all, c.call(ctx, true, http.MethodGet, "/v1/duties"+consistencyQuery(linearizable), nil, &all)
}

func (c *Client) leadership(ctx context.Context, op string, claim api.LeadershipClaim) (g api.LeadershipGrant, err error) {
	at := c.currentAddress()
	err = c.postOnce(ctx, at, "/v1/duties/"+url.PathEscape(claim.Name)+"/"+op, claim, &g)
	if err == nil {
		return g, nil
	}
	var failure *api.Error
	known := errors.As(err, &failure)
	if !known || failure.Code == api.CodeNoLeader || failure.Code == api.CodeOutcomeUnknown {
		c.switchFrom(at)
	}
	if !known && !notSent(err) {
		err = api.Errorf(api.CodeOutcomeUnknown, "%v", err)
	}
	return g, err
}
