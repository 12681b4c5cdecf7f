package registry

import (
	"fmt"
	"net/http"
	"strconv"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
	"mosslead/internal/settings"
)

// applyDocument commits a command on documents, which all replicas must understand (schema 3).
func (n *Node) applyDocument(c list.Command) (list.Result, error) {
	if err := n.requireSchema(list.DocumentSchema); err != nil {
		return list.Result{}, err
	}
	c.Region = n.config.Region
	return n.apply(c)
}

// putSettings changes the settings of a service, if a sidecar would accept them.
func (n *Node) putSettings(r *http.Request, body []byte) (any, error) {
	var request api.PutRequest
	service := r.PathValue("service")
	if err := decodeBody(body, &request); err != nil {
		return nil, err
	}
	if err := request.Check(service); err != nil {
		return nil, err
	}
	if _, err := settings.Check(request.Schema, request.Settings); err != nil {
		return nil, api.Errorf(api.CodeBadRequest, "settings: %v", err)
	}
	return n.writeDocument(list.Command{Op: list.PutDocument, Name: service, IfRevision: request.IfRevision, Document: &api.Document{Service: service, Schema: request.Schema, Settings: request.Settings}})
}

func (n *Node) deleteSettings(r *http.Request, body []byte) (any, error) {
	var request api.PutRequest
	service := r.PathValue("service")
	if err := decodeBody(body, &request); err != nil {
		return nil, err
	}
	switch {
	case len(service) > api.MaxName:
		return nil, api.Errorf(api.CodeBadRequest, "service: at most %d bytes", api.MaxName)
	case request.IfRevision == nil || *request.IfRevision < 0:
		return nil, api.Errorf(api.CodeBadRequest, "if_version: the version that is to be deleted")
	}
	return n.writeDocument(list.Command{Op: list.DeleteDocument, Name: service, IfRevision: request.IfRevision})
}

func (n *Node) writeDocument(c list.Command) (any, error) {
	result, err := n.applyDocument(c)
	return api.WriteResult{Revision: result.Revision}, err
}

// documents serves all documents, without their settings.
func (n *Node) documents(*http.Request, []byte) (any, error) {
	var all api.Documents
	n.fsm.read(func(l *list.List) { all = api.Documents{Revision: l.Revision(), Documents: l.Documents()} })
	for i := range all.Documents {
		all.Documents[i].Settings = nil
	}
	return all, nil
}

// document serves the document that sidecars are sent, or an earlier revision.
func (n *Node) document(r *http.Request, _ []byte) (any, error) {
	service, version := r.PathValue("service"), int64(0)
	if text := r.PathValue("version"); text != "" {
		var err error
		if version, err = strconv.ParseInt(text, 10, 64); err != nil || version < 1 {
			return nil, api.Errorf(api.CodeBadRequest, "version: a whole number above 0, not %.40q", text)
		}
	}
	var d api.Document
	var found bool
	n.fsm.read(func(l *list.List) {
		if version > 0 {
			d, found = l.DocumentAt(service, version)
		} else if d, found = l.Document(service); d.Region == l.Region() {
			d.EarlierRevisions = l.EarlierRevisions(service)
		}
	})
	switch {
	case found:
		return d, nil
	case version > 0:
		return nil, api.Errorf(api.CodeNotFound, "settings of %s at version %d: %d versions before the present one are remembered, by the region that owns them", service, version, list.MaxEarlierRevisions)
	}
	return nil, api.Errorf(api.CodeNotFound, "settings of %s", service)
}

// recordAcks stores the acknowledgements of sidecars.
func (n *Node) recordAcks(_ *http.Request, body []byte) (any, error) {
	var reported api.Acks
	if err := decodeBody(body, &reported); err != nil {
		return nil, err
	}
	for i, a := range reported.Acks {
		if err := a.Check(); err != nil {
			return nil, fmt.Errorf("acks[%d]: %w", i, err)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leading {
		return nil, api.Errorf(api.CodeNoLeader, "%s leads no more", n.self.Name)
	}
	now := n.now()
	for _, a := range reported.Acks {
		if !n.acks.record(now, a) {
			return nil, api.Errorf(api.CodeFull, "%d sidecars are heard", maxAcks)
		}
	}
	return struct{}{}, nil
}

// rollouts serves the rollout of each document that sidecars are sent.
func (n *Node) rollouts(*http.Request, []byte) (any, error) {
	var published []api.Document
	n.fsm.read(func(l *list.List) {
		for _, d := range l.Documents() {
			if sent, _ := l.Document(d.Service); sent.Region == d.Region {
				published = append(published, sent)
			}
		}
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leading {
		return nil, api.Errorf(api.CodeNoLeader, "%s leads no more", n.self.Name)
	}
	return api.Rollouts{Region: n.config.Region, Rollouts: n.acks.rollouts(n.now(), published)}, nil
}
