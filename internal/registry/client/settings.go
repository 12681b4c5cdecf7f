package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"mosslead/internal/registry/api"
)

func settingsPath(service string) string { return "/v1/settings/" + url.PathEscape(service) }

// Put changes the settings of a service, based on the revision in request, and returns the new one. It fails with CodeConflict
// if they are at another revision or another region owns them, and with CodeOutcomeUnknown if it may have been done.
func (c *Client) Put(ctx context.Context, service string, request api.PutRequest) (revision int64, err error) {
	var result api.WriteResult
	err = c.call(ctx, false, http.MethodPut, settingsPath(service), request, &result)
	return result.Revision, err
}

// Delete deletes the settings of a service, so that its sidecars return to those of their configuration files.
func (c *Client) Delete(ctx context.Context, service string, ifRevision int64) (revision int64, err error) {
	var result api.WriteResult
	err = c.call(ctx, false, http.MethodPost, settingsPath(service)+"/delete", api.PutRequest{IfRevision: &ifRevision}, &result)
	return result.Revision, err
}

// Document returns the settings of a service: the current ones if revision is 0, or else those at that revision, if they are
// still stored. If linearizable is set, the read reflects all writes that completed before it.
func (c *Client) Document(ctx context.Context, service string, revision int64, linearizable bool) (d api.Document, err error) {
	path := settingsPath(service) + consistencyQuery(linearizable)
	if revision != 0 {
		path = settingsPath(service) + "/versions/" + strconv.FormatInt(revision, 10) + consistencyQuery(linearizable)
	}
	return d, c.call(ctx, true, http.MethodGet, path, nil, &d)
}

// Documents returns the documents of all services, without their settings.
func (c *Client) Documents(ctx context.Context, linearizable bool) (all api.Documents, err error) {
	return all, c.call(ctx, true, http.MethodGet, "/v1/settings"+consistencyQuery(linearizable), nil, &all)
}

// Acknowledge reports to the service which settings are in force at sidecars.
func (c *Client) Acknowledge(ctx context.Context, acks []api.Ack) error {
	return c.call(ctx, true, http.MethodPost, "/v1/acks", api.Acks{Acks: acks}, nil)
}

// Rollouts returns, for each document, how many sidecars of this region have it in force.
func (c *Client) Rollouts(ctx context.Context) (all api.Rollouts, err error) {
	return all, c.call(ctx, true, http.MethodGet, "/v1/rollouts", nil, &all)
}
