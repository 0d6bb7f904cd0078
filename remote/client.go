package remote

import (
	"context"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/pkg/errors"
)

const (
	controlTimeout = 2 * time.Second
	maxIdlePerHost = 16
)

// newClient returns a client that never repeats a request by itself.
func newClient(base string, timeout time.Duration) *resty.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: time.Minute}
	client := resty.New()
	client.SetTransport(transport)
	client.SetTimeout(timeout)
	client.SetRetryCount(0)
	client.SetBaseURL(base)
	return client
}

// sendJSON sends body as JSON, if there is one, and reads the answer into result.
func sendJSON(ctx context.Context, client *resty.Client, method, url string, body, result any) error {
	request := client.R().SetContext(ctx)
	if body != nil {
		// A bare reader has no GetBody, so net/http cannot send it twice on a connection that broke.
		request.SetBody(body)
	}
	request.SetResult(result)
	response, err := request.Execute(method, url)
	if err != nil {
		return errors.WithStack(err)
	}
	if response.IsError() {
		return errors.Errorf("%s %s: %s: %.200s", method, url, response.Status(), response.String())
	}
	return nil
}
