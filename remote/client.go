package remote

import (
	"context"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/pkg/errors"

	"cherrykeel/heads"
)

const (
	controlTimeout = 2 * time.Second
	maxIdlePerHost = 16
)

// NewClient returns a client for a base URL that never retries a request, and whose calls fail with heads.ErrMalformed if what
// comes back is no answer.
func NewClient(base string, timeout time.Duration) *resty.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: time.Minute}
	client := resty.New()
	client.SetTransport(heads.NewTransport(transport))
	client.SetTimeout(timeout)
	client.SetRetryCount(0)
	client.SetBaseURL(base)
	return client
}

// sendJSON sends a request and decodes the JSON answer into result. body is encoded as JSON unless it is nil or an
// io.Reader. A status of 400 or above is an error.
func sendJSON(ctx context.Context, client *resty.Client, method, url string, body, result any) error {
	request := client.R().SetContext(ctx)
	if body != nil {
		// If body is a plain io.Reader, the request has no GetBody, so net/http cannot send it again after a connection
		// broke.
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
