package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net/netip"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// targetBytes is the size of the target's digest, a hash that is cheap enough to compute for every request.
	// digestBytes is the size of the whole request's digest, a cryptographic hash, so that no caller can construct a
	// request that collides with another one.
	targetBytes      = 8
	digestBytes      = 16
	fingerprintBytes = targetBytes + digestBytes
	// callerFingerprintBytes is the number of digest bytes in a CallerFingerprint. They only have to distinguish the
	// callers of one request.
	callerFingerprintBytes = 8
)

// ErrMalformedFingerprint means that a text is not the hexadecimal form of a Fingerprint.
var ErrMalformedFingerprint = errors.New("malformed request fingerprint")

// Fingerprint is equal for all repeats of a request, also under another request ID and from other callers. It is a
// digest, so that neither memory nor logs hold the request's content.
type Fingerprint [fingerprintBytes]byte

// Target is the part of a fingerprint that depends only on the request's method, domain and path.
type Target [targetBytes]byte

// RequestParts holds the parts of a request from which its fingerprint and its caller's fingerprints are computed.
type RequestParts struct {
	// Method is the HTTP method.
	Method string
	// Domain is the requested host name, and Path the path with its query, both exactly as received.
	Domain string
	Path   string
	// Key is the request's key; empty if it has none.
	Key string
	// CallerAddress is the caller's IP address, with or without a port.
	CallerAddress string
	// Credentials are the credentials that the caller sent; empty if none.
	Credentials string
	// Body is the whole body; how it was split in transit makes no difference.
	Body []byte
}

// Target returns the digest of the request's method, domain and path.
func (requestParts *RequestParts) Target() Target {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{requestParts.Method, requestParts.Domain, requestParts.Path} {
		_, _ = digest.WriteString(part)
	}
	var target Target
	binary.BigEndian.PutUint64(target[:], digest.Sum64())
	return target
}

// FingerprintOf returns the fingerprint of a request. It does not depend on the caller, since the same request may come
// from many addresses.
func FingerprintOf(requestParts RequestParts) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{requestParts.Method, requestParts.Domain, requestParts.Path, requestParts.Key} {
		writeField(digest, part)
	}
	_, _ = digest.Write(requestParts.Body)
	target := requestParts.Target()
	var fingerprint Fingerprint
	copy(fingerprint[:], target[:])
	copy(fingerprint[targetBytes:], digest.Sum(nil))
	return fingerprint
}

// CallerFingerprint is a digest of a caller's address or of its credentials. A suffix shows of which.
type CallerFingerprint string

const (
	addressSuffix     = "a"
	credentialsSuffix = "c"
)

// isFromCredentials reports whether the fingerprint is of credentials. Unlike an address, callers do not share these.
func (callerFingerprint CallerFingerprint) isFromCredentials() bool {
	return strings.HasSuffix(string(callerFingerprint), credentialsSuffix)
}

// CallerFingerprints returns the fingerprint of the caller's address, and that of its credentials if it sent any.
func (requestParts *RequestParts) CallerFingerprints() []CallerFingerprint {
	callers := []CallerFingerprint{newCallerFingerprint(withoutPort(requestParts.CallerAddress), addressSuffix)}
	if requestParts.Credentials != "" {
		callers = append(callers, newCallerFingerprint(requestParts.Credentials, credentialsSuffix))
	}
	return callers
}

func newCallerFingerprint(text, suffix string) CallerFingerprint {
	sum := sha256.Sum256([]byte(text))
	return CallerFingerprint(hex.EncodeToString(sum[:callerFingerprintBytes]) + suffix)
}

// writeField writes a part prefixed with its length, so that parts that are split elsewhere give another digest.
func writeField(digest hash.Hash, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write([]byte(part))
}

// withoutPort removes the port from an address, since each connection of a caller has another one.
func withoutPort(address string) string {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return addrPort.Addr().Unmap().String()
}

// Target returns the target that is part of the fingerprint.
func (fingerprint Fingerprint) Target() Target {
	return Target(fingerprint[:targetBytes])
}

// String returns the hexadecimal form for logs and stored records.
func (fingerprint Fingerprint) String() string {
	return hex.EncodeToString(fingerprint[:])
}

// ParseFingerprint parses the form that String returns, or returns an error that wraps ErrMalformedFingerprint.
func ParseFingerprint(text string) (Fingerprint, error) {
	var fingerprint Fingerprint
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != fingerprintBytes {
		return fingerprint, errors.Wrap(ErrMalformedFingerprint, text)
	}
	copy(fingerprint[:], data)
	return fingerprint, nil
}
