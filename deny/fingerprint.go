package deny

import (
	"net/http"
	"strings"

	"cherrykeel/poison"
)

// credentialHeaders are the headers that identify a caller independently of its address.
var credentialHeaders = []string{"Authorization", "Cookie"}

// RequestPartsOf returns the parts of a request from which its fingerprint and its caller's are computed. The target is
// the path with the query as received, the key is empty if the request has none, and the body is the whole one.
func RequestPartsOf(request *http.Request, target, key string, body []byte) poison.RequestParts {
	return poison.RequestParts{
		Method: request.Method, Domain: request.Host, Path: target, Key: key, Body: body,
		CallerAddress: request.RemoteAddr, Credentials: credentials(request.Header),
	}
}

// credentials returns the values of the credential headers, or "" if there are none.
func credentials(header http.Header) string {
	var found []string
	for _, name := range credentialHeaders {
		for _, value := range header[name] {
			found = append(found, name+": "+value)
		}
	}
	return strings.Join(found, "\n")
}
