package deny

import (
	"net/http"
	"strings"

	"cherrykeel/poison"
)

// credentialHeaders are what callers show of who they are, whichever address they come from.
var credentialHeaders = []string{"Authorization", "Cookie"}

// RequestPartsOf returns what makes a request the same one when it is sent again. Its target is the path with the query as
// they came, its body is whole; the key is empty if it has none.
func RequestPartsOf(request *http.Request, target, key string, body []byte) poison.RequestParts {
	return poison.RequestParts{
		Method: request.Method, Domain: request.Host, Path: target, Key: key, Body: body,
		CallerAddress: request.RemoteAddr, Credentials: credentials(request.Header),
	}
}

func credentials(header http.Header) string {
	var shown []string
	for _, name := range credentialHeaders {
		for _, value := range header[name] {
			shown = append(shown, name+": "+value)
		}
	}
	return strings.Join(shown, "\n")
}
