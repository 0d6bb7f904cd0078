package edge

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"

	"cherrykeel"
	"cherrykeel/route"
)

// Priorities of the stages; the gaps leave room for new stages.
const (
	PriorityIdentify    = 100
	PriorityMatch       = 200
	PriorityBody        = 300
	PriorityIdempotency = 400
	PriorityForward     = 500
)

type identify struct {
	prefix string
	count  atomic.Uint64
}

// NewIdentify returns the stage that assigns each request a unique ID.
func NewIdentify() cherrykeel.Stage {
	return &identify{prefix: strconv.FormatUint(rand.Uint64(), 36) + "-"}
}

// Serve implements cherrykeel.Stage.
func (identify *identify) Serve(exchange *cherrykeel.Exchange, next cherrykeel.Next) *cherrykeel.Failure {
	exchange.ID = identify.prefix + strconv.FormatUint(identify.count.Add(1), 36)
	return next(exchange)
}

// TableSource provides the route table.
type TableSource interface {
	// Table returns the route table in force, or nil while there is none.
	Table() *route.Table
}

type match struct {
	tables TableSource
}

// NewMatch returns the stage that sets a request's service, key, priority and deadline.
func NewMatch(tables TableSource) cherrykeel.Stage {
	return &match{tables: tables}
}

// Serve implements cherrykeel.Stage.
func (match *match) Serve(exchange *cherrykeel.Exchange, next cherrykeel.Next) *cherrykeel.Failure {
	table := match.tables.Table()
	if table == nil {
		return cherrykeel.Refuse(http.StatusServiceUnavailable, "no-settings", "this host has no settings yet")
	}
	request := exchange.Request
	service := table.Match(request.Host, request.URL.Path)
	if service == nil && !table.HasTeam(request.Host) {
		return cherrykeel.Refuse(http.StatusNotFound, "unknown-team", "no team has the host name %q", request.Host)
	}
	if service == nil {
		return cherrykeel.Refuse(http.StatusNotFound, "unknown-service", "no service of this team has the path %q", request.URL.Path)
	}
	exchange.Service = service
	exchange.Repeatable = route.IsRepeatable(service.Idempotent, request.Method)
	exchange.IdempotencyKey = request.Header.Get(cherrykeel.HeaderIdempotencyKey)
	exchange.Priority = route.Priority(service.Priority, request.Header.Get(cherrykeel.HeaderPriority))
	exchange.Deadline = exchange.Arrived.Add(requestTimeout(exchange))
	if failure := setKey(exchange); failure != nil {
		return failure
	}
	return next(exchange)
}

func setKey(exchange *cherrykeel.Exchange) *cherrykeel.Failure {
	service := exchange.Service
	if service.KeyFrom == "" {
		return nil
	}
	request := exchange.Request
	parts := route.RequestParts{Path: request.URL.Path, Header: request.Header.Get}
	if request.URL.RawQuery != "" {
		parts.Query = request.URL.Query()
	}
	exchange.Key = route.Key(service.KeyFrom, service.PathPrefix, parts)
	if !service.Keyed {
		return nil
	}
	if exchange.Key == "" {
		return cherrykeel.Refuse(http.StatusBadRequest, "missing-key", "the service %s needs a key from %s", service.Path, service.KeyFrom)
	}
	exchange.Partition = route.Partition(exchange.Key, service.Partitions)
	return nil
}
