package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"mosslead/internal/registry/api"
)

func document(service string) string { return "/v1/settings/" + url.PathEscape(service) }

// Put changes the settings of a service, based on the revision that it names. CodeConflict: they are at
// another revision, or another region owns them; CodeOutcomeUnknown: it may have been done.
func (c *Client) Put(ctx context.Context, service string, p api.PutRequest) (version int64, err error) {
	var done api.WriteResult
	err = c.call(ctx, false, http.MethodPut, document(service), p, &done)
	return done.Revision, err
}

// Delete ends the settings of a service: its sidecars go back to those of their files.
func (c *Client) Delete(ctx context.Context, service string, ifVersion int64) (version int64, err error) {
	var done api.WriteResult
	err = c.call(ctx, false, http.MethodPost, document(service)+"/delete", api.PutRequest{IfRevision: &ifVersion}, &done)
	return done.Revision, err
}

// Document is the settings of a service or, with a revision other than 0, those of a time before, if they are
// stored.
func (c *Client) Document(ctx context.Context, service string, version int64, sure bool) (d api.Document, err error) {
	path := document(service) + consistent(sure)
	if version != 0 {
		path = document(service) + "/versions/" + strconv.FormatInt(version, 10) + consistent(sure)
	}
	return d, c.call(ctx, true, http.MethodGet, path, nil, &d)
}

// Documents are the settings of all services, without their text.
func (c *Client) Documents(ctx context.Context, sure bool) (all api.Documents, err error) {
	return all, c.call(ctx, true, http.MethodGet, "/v1/settings"+consistent(sure), nil, &all)
}

// Acknowledge reports what is in force at sidecars.
func (c *Client) Acknowledge(ctx context.Context, acks []api.Ack) error {
	return c.call(ctx, true, http.MethodPost, "/v1/acks", api.Acks{Acks: acks}, nil)
}

// Rollouts tells how far all documents have come among the sidecars of this region.
func (c *Client) Rollouts(ctx context.Context) (all api.Rollouts, err error) {
	return all, c.call(ctx, true, http.MethodGet, "/v1/rollouts", nil, &all)
}
