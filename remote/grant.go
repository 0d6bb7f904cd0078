package remote

import (
	"context"
	"net/http"
	"net/url"

	"github.com/go-resty/resty/v2"
	"github.com/pkg/errors"

	"cherrykeel"
)

// ErrUpstreamControl is returned if an upstream's control endpoint does not answer, or answers with an error.
var ErrUpstreamControl = errors.New("the upstream's control endpoint is unavailable")

const ownershipPath = "/.well-known/ownership"

type granter struct {
	client *resty.Client
}

// NewGranter returns a Granter that sends grants and queries to the upstreams' control endpoints over HTTP.
func NewGranter() cherrykeel.Granter {
	return &granter{client: NewClient("", controlTimeout)}
}

// Grant implements cherrykeel.Granter.
func (granter *granter) Grant(ctx context.Context, address string, grant cherrykeel.Grant) (cherrykeel.Holding, error) {
	var holding cherrykeel.Holding
	err := sendJSON(ctx, granter.client, http.MethodPut, "http://"+address+ownershipPath, grant, &holding)
	if err != nil {
		return holding, errors.Wrap(ErrUpstreamControl, err.Error())
	}
	return holding, nil
}

// RequestHolding implements cherrykeel.Granter.
func (granter *granter) RequestHolding(ctx context.Context, address, service string) (cherrykeel.Holding, error) {
	var holding cherrykeel.Holding
	target := "http://" + address + ownershipPath + "?service=" + url.QueryEscape(service)
	err := sendJSON(ctx, granter.client, http.MethodGet, target, nil, &holding)
	if err != nil {
		return holding, errors.Wrap(ErrUpstreamControl, err.Error())
	}
	return holding, nil
}
