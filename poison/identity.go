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
	// targetBytes name what is asked for, in a digest that is cheap enough to be made for each request, and
	// digestBytes the whole request, in one that nobody can make to collide with another's.
	targetBytes      = 8
	digestBytes      = 16
	fingerprintBytes = targetBytes + digestBytes
	// callerFingerprintBytes tell the callers of one request apart.
	callerFingerprintBytes = 8
)

// ErrMalformedFingerprint means that a text is no identity.
var ErrMalformedFingerprint = errors.New("not the identity of a request")

// Fingerprint tells requests apart that are sent again with another request ID, by the same caller or by others. It is a
// digest, so that neither memory nor logs hold what was sent.
type Fingerprint [fingerprintBytes]byte

// Target is the part of an identity that says what is asked for, whoever asks and whatever the body is.
type Target [targetBytes]byte

// RequestParts are what makes two requests the same one.
type RequestParts struct {
	Method string
	// Domain and Path are the host that was asked for, and the path with its query, as they came.
	Domain string
	Path   string
	// Key is the key that the request is for; empty if it has none.
	Key string
	// CallerAddress is the caller's address, with or without a port.
	CallerAddress string
	// Credentials are what the caller shows of who it is; empty if nothing.
	Credentials string
	// Body is whole; how it came in parts says nothing.
	Body []byte
}

// Target returns the first part of the request's identity.
func (parts *RequestParts) Target() Target {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{parts.Method, parts.Domain, parts.Path} {
		_, _ = digest.WriteString(part)
	}
	var target Target
	binary.BigEndian.PutUint64(target[:], digest.Sum64())
	return target
}

// FingerprintOf returns the identity of a request. A caller's address is no part of it: one request may come from many.
func FingerprintOf(parts RequestParts) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{parts.Method, parts.Domain, parts.Path, parts.Key} {
		writeField(digest, part)
	}
	_, _ = digest.Write(parts.Body)
	target := parts.Target()
	var identity Fingerprint
	copy(identity[:], target[:])
	copy(identity[targetBytes:], digest.Sum(nil))
	return identity
}

// CallerFingerprint is a digest of one thing that tells a caller from others: its address, or its credentials.
type CallerFingerprint string

const (
	addressSuffix     = "a"
	credentialsSuffix = "c"
)

// isFromCredentials reports whether the mark is of what a caller shows of itself, which its neighbours do not share.
func (mark CallerFingerprint) isFromCredentials() bool {
	return strings.HasSuffix(string(mark), credentialsSuffix)
}

// CallerFingerprints returns what tells the request's caller from others that send the same.
func (parts *RequestParts) CallerFingerprints() []CallerFingerprint {
	marks := []CallerFingerprint{newCallerFingerprint(withoutPort(parts.CallerAddress), addressSuffix)}
	if parts.Credentials != "" {
		marks = append(marks, newCallerFingerprint(parts.Credentials, credentialsSuffix))
	}
	return marks
}

func newCallerFingerprint(text, kind string) CallerFingerprint {
	sum := sha256.Sum256([]byte(text))
	return CallerFingerprint(hex.EncodeToString(sum[:callerFingerprintBytes]) + kind)
}

// writeField adds a part with its length before it, so that none can pass for the end of another.
func writeField(digest hash.Hash, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write([]byte(part))
}

// withoutPort drops the port, which is another one for each connection of a caller.
func withoutPort(address string) string {
	whole, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return whole.Addr().Unmap().String()
}

// Target returns what the request asks for.
func (identity Fingerprint) Target() Target {
	return Target(identity[:targetBytes])
}

// String returns the form for logs and records.
func (identity Fingerprint) String() string {
	return hex.EncodeToString(identity[:])
}

// ParseFingerprint reads the form that String returns; ErrIdentity says that it is none.
func ParseFingerprint(text string) (Fingerprint, error) {
	var identity Fingerprint
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != fingerprintBytes {
		return identity, errors.Wrap(ErrMalformedFingerprint, text)
	}
	copy(identity[:], data)
	return identity, nil
}
