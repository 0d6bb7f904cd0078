package cherrykeel_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"

	"cherrykeel"
)

// greet answers requests for one path and leaves the others to later stages.
type greet struct{}

func (greet) Serve(exchange *cherrykeel.Exchange, next cherrykeel.Next) *cherrykeel.Failure {
	if exchange.Request.URL.Path != "/hello" {
		return next(exchange)
	}
	_, _ = fmt.Fprint(exchange.Writer, "hello")
	return nil
}

// refuse refuses every request that reaches it.
type refuse struct{}

func (refuse) Serve(*cherrykeel.Exchange, cherrykeel.Next) *cherrykeel.Failure {
	return cherrykeel.Refuse(http.StatusServiceUnavailable, "closed", "come back tomorrow")
}

func ExampleNew() {
	router := cherrykeel.New(
		cherrykeel.WithStage(refuse{}, 200),
		cherrykeel.WithStage(greet{}, 100))
	for _, path := range []string{"/hello", "/other"} {
		recorder := httptest.NewRecorder()
		router.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		fmt.Printf("%d %q %q\n", recorder.Code, recorder.Body, recorder.Header().Get(cherrykeel.HeaderOutcome))
	}
	// Output:
	// 200 "hello" ""
	// 503 "" "not-run"
}
