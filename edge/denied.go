package edge

import (
	"net/http"

	"cherrykeel"
	"cherrykeel/deny"
	"cherrykeel/poison"
)

// partsOf are what makes a request the same one when it is sent again.
func partsOf(exchange *cherrykeel.Exchange) poison.Parts {
	return deny.PartsOf(exchange.Request, exchange.Request.URL.RequestURI(), exchange.Body)
}

// refusal refuses a request under which upstreams have ended.
func refusal(listed *deny.Request) *cherrykeel.Failure {
	left, refused := listed.Refused()
	if !refused {
		return nil
	}
	failure := cherrykeel.Refuse(statusBusy, "ends-upstreams", "upstreams have ended under this request")
	failure.RetryAfter = left
	return failure
}

// tellOfUpstream says what an attempt showed of the upstream's process, and of the request.
func (forward *forward) tellOfUpstream(place *place, exchange *cherrykeel.Exchange, listed *deny.Request, result result) {
	server := place.upstream.server
	life := poison.Life{Upstream: exchange.Service.Path + " " + server.Name}
	switch {
	case result.unanswered, result.abandoned:
		listed.Broke(poison.Break{
			Request: exchange.ID, Service: exchange.Service.Path, Life: life, Address: server.Address,
			Begun: place.begun, At: forward.clock.Now(), Reset: result.reset, Abandoned: result.abandoned,
		})
	case result.refused:
		forward.denied.Unreachable(server.Address)
	case result.own:
		forward.denied.Answered(life, place.begun)
	}
	if result.own && result.ending.Refusal == "" && result.status < http.StatusInternalServerError {
		listed.Served()
	}
}
