package client

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"mosslead/internal/registry/api"
)

// Calls on leaderships are not retried here, because electors have their own intervals (internal/lease). A call whose response
// was lost fails with CodeOutcomeUnknown, and the next one goes to another replica.

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

// Leaderships returns all leaderships that are held. If linearizable is set, the read reflects all writes that completed before it.
func (c *Client) Leaderships(ctx context.Context, linearizable bool) (all api.Leaderships, err error) {
	return all, c.call(ctx, true, http.MethodGet, "/v1/duties"+consistencyQuery(linearizable), nil, &all)
}

func (c *Client) leadership(ctx context.Context, op string, claim api.LeadershipClaim) (grant api.LeadershipGrant, err error) {
	address := c.currentAddress()
	err = c.postOnce(ctx, address, "/v1/duties/"+url.PathEscape(claim.Name)+"/"+op, claim, &grant)
	if err == nil {
		return grant, nil
	}
	var apiErr *api.Error
	responded := errors.As(err, &apiErr)
	if !responded || apiErr.Code == api.CodeNoLeader || apiErr.Code == api.CodeOutcomeUnknown {
		c.switchFrom(address)
	}
	if !responded && !notSent(err) {
		err = api.Errorf(api.CodeOutcomeUnknown, "%v", err)
	}
	return grant, err
}
