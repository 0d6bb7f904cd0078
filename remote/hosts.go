package remote

import (
	"context"
	"net/http"

	"github.com/go-resty/resty/v2"
	"github.com/pkg/errors"

	"cherrykeel"
)

// ErrListUnavailable is returned if the platform's list of hosts does not answer, or answers with an error.
var ErrListUnavailable = errors.New("the platform's list of hosts is unavailable")

type remoteHostList struct {
	client *resty.Client
}

// NewHostList returns a client of the platform's list of hosts at base, an http URL.
func NewHostList(base string) cherrykeel.HostList {
	return &remoteHostList{client: NewClient(base, controlTimeout)}
}

// Members implements cherrykeel.HostList.
func (list *remoteHostList) Members(ctx context.Context) ([]cherrykeel.Member, error) {
	var members []cherrykeel.Member
	err := sendJSON(ctx, list.client, http.MethodGet, "/members", nil, &members)
	if err != nil {
		return nil, errors.Wrap(ErrListUnavailable, err.Error())
	}
	return members, nil
}

// Announce implements cherrykeel.HostList.
func (list *remoteHostList) Announce(ctx context.Context, member cherrykeel.Member) error {
	var ignored struct{}
	err := sendJSON(ctx, list.client, http.MethodPut, "/members/"+member.Name, member, &ignored)
	if err != nil {
		return errors.Wrap(ErrListUnavailable, err.Error())
	}
	return nil
}
