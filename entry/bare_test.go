package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap/zapcore"

	"cherrykeel"
	"cherrykeel/conns"
	"cherrykeel/events"
)

// noDialect is a dialect without headers, in which each answer repeats the request's ID.
type noDialect struct{}

func (noDialect) ReadRequest(*http.Request) cherrykeel.RequestHeaders {
	return cherrykeel.RequestHeaders{ID: "r", Key: cherrykeel.NoKey}
}
func (noDialect) MarkRequest(http.Header, cherrykeel.Upstream, time.Duration) {}
func (noDialect) MarkAnswer(http.Header, string)                              {}
func (noDialect) ReadReply(int, http.Header) cherrykeel.ReplyHeaders {
	return cherrykeel.ReplyHeaders{ID: "r"}
}

// emptyLog is a topic of the store without records.
type emptyLog struct{}

func (emptyLog) Newest(context.Context) (cherrykeel.KeyedBatch, error) {
	return cherrykeel.KeyedBatch{}, nil
}

func (emptyLog) Read(ctx context.Context, _ int64, _ time.Duration) (cherrykeel.KeyedBatch, error) {
	<-ctx.Done()
	return cherrykeel.KeyedBatch{}, cherrykeel.ErrStoreUnavailable
}

func (emptyLog) Put(context.Context, string, []byte) (int64, error) { return 0, nil }

func (emptyLog) PutAt(context.Context, string, []byte, int64) error { return nil }

func noGranter(conns.DialFunc) cherrykeel.SpanGranter { return nil }

// unstartedHost returns a host that follows no topic yet; change may give it other topics and decoders.
func unstartedHost(change func(platform *Platform)) *Host {
	return unstartedHostAt(cherrykeel.SystemClock(), change)
}

// unstartedHostAt returns an unstartedHost with a clock.
func unstartedHostAt(clock cherrykeel.Clock, change func(platform *Platform)) *Host {
	platform := Platform{
		Dialect: noDialect{}, NewGranter: noGranter, Operator: emptyLog{}, Upstreams: emptyLog{}, Hosts: emptyLog{}, Spans: emptyLog{},
		RoutesKey: "routes", EvacuationPrefix: "evacuate/",
		DecodeRoutes: func([]byte) (cherrykeel.RouteSet, error) {
			services := map[string]cherrykeel.RoutedService{}
			for i := range 4 {
				name := fmt.Sprintf("service-%d", i)
				services[name] = cherrykeel.RoutedService{Name: name, Keyed: i == 0}
			}
			return cherrykeel.RouteSet{Version: 1, Services: services}, nil
		},
		DecodeUpstream: func(id string, value []byte) (cherrykeel.Upstream, error) {
			var upstream cherrykeel.Upstream
			err := json.Unmarshal(value, &upstream)
			return upstream, err
		},
	}
	if change != nil {
		change(&platform)
	}
	settings := cherrykeel.EntrySettings{Name: "host-0", Zone: "zone-0", InternalAddress: "127.0.0.1:7000"}
	return New(settings, platform, WithClock(clock), WithLogger(events.NewLogger(zapcore.AddSync(io.Discard), zapcore.InfoLevel)))
}
