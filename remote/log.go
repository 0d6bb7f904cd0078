package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/pkg/errors"

	"cherrykeel"
)

const (
	logTimeout = 5 * time.Second
	readWait   = 2 * time.Second
)

// AppendReply is the log's answer to an append: the offset of the new record.
type AppendReply struct {
	Offset int64
}

// ReadRecord is one record in the log's answer to a read.
type ReadRecord struct {
	Offset int64
	Data   json.RawMessage
}

// ReadReply is the log's answer to a read: records, the offset of the oldest record that the log still keeps, and the
// offset that the next append will get.
type ReadReply struct {
	First   int64
	Next    int64
	Records []ReadRecord
}

type remoteLog struct {
	client *resty.Client
	stream string
	wait   time.Duration
}

// NewLog returns a client of the named log stream at base, an http URL.
func NewLog(base, stream string) cherrykeel.Log {
	return &remoteLog{client: NewClient(base, logTimeout), stream: stream, wait: readWait}
}

func (log *remoteLog) url() string {
	return fmt.Sprintf("/streams/%s/records", log.stream)
}

// Append implements cherrykeel.Log.
func (log *remoteLog) Append(ctx context.Context, data []byte) (int64, error) {
	var reply AppendReply
	// A MultiReader gives the request no GetBody, so net/http cannot append the record again after a connection broke.
	body := io.MultiReader(bytes.NewReader(data))
	err := sendJSON(ctx, log.client, http.MethodPost, log.url(), body, &reply)
	if err != nil {
		return 0, errors.Wrap(cherrykeel.ErrLogUnavailable, err.Error())
	}
	return reply.Offset, nil
}

// Read implements cherrykeel.Log.
func (log *remoteLog) Read(ctx context.Context, from int64) (cherrykeel.LogBatch, error) {
	var reply ReadReply
	url := fmt.Sprintf("%s?from=%d&wait=%d", log.url(), from, log.wait.Milliseconds())
	err := sendJSON(ctx, log.client, http.MethodGet, url, nil, &reply)
	if err != nil {
		return cherrykeel.LogBatch{}, errors.Wrap(cherrykeel.ErrLogUnavailable, err.Error())
	}
	batch := cherrykeel.LogBatch{First: reply.First, Next: reply.Next}
	for _, record := range reply.Records {
		batch.Records = append(batch.Records, cherrykeel.LogRecord{Offset: record.Offset, Data: record.Data})
	}
	return batch, nil
}
