package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// targetBytes name what is asked for, in a digest that is cheap enough to be made for each request, and
	// digestBytes the whole request, in one that nobody can make to collide with another's.
	targetBytes   = 8
	digestBytes   = 16
	identityBytes = targetBytes + digestBytes
	// shortBytes is enough to tell a log's callers and bodies apart.
	shortBytes = 8
)

// ErrIdentity means that a text is no identity.
var ErrIdentity = errors.New("not the identity of a request")

// Identity tells requests apart that a caller sends again with another request ID. It is a digest, so that neither
// memory nor logs hold what a caller sent.
type Identity [identityBytes]byte

// Target is the part of an identity that says what is asked for, whoever asks and whatever the body is.
type Target [targetBytes]byte

// Parts are what makes two requests the same one.
type Parts struct {
	Method string
	// Domain and Path are the host that was asked for, and the path with its query, as they came.
	Domain string
	Path   string
	// Caller is the caller's address, with or without a port.
	Caller string
	// Body is whole; how it came in parts says nothing.
	Body []byte
}

// Target returns the first part of the request's identity.
func (parts *Parts) Target() Target {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{parts.Method, parts.Domain, parts.Path} {
		_, _ = digest.WriteString(part)
	}
	var target Target
	binary.BigEndian.PutUint64(target[:], digest.Sum64())
	return target
}

// Identify returns the identity of a request.
func Identify(parts Parts) Identity {
	digest := sha256.New()
	for _, part := range []string{parts.Method, parts.Domain, parts.Path, callerOf(parts.Caller)} {
		add(digest, part)
	}
	_, _ = digest.Write(parts.Body)
	target := parts.Target()
	var identity Identity
	copy(identity[:], target[:])
	copy(identity[targetBytes:], digest.Sum(nil))
	return identity
}

// Digests tell two parts of a request apart in logs, without their content.
type Digests struct {
	// Caller is of the caller's address, Body of the body.
	Caller string
	Body   string
}

// Digests returns the digests of a request's parts.
func (parts *Parts) Digests() Digests {
	return Digests{Caller: shortDigest([]byte(callerOf(parts.Caller))), Body: shortDigest(parts.Body)}
}

func shortDigest(part []byte) string {
	sum := sha256.Sum256(part)
	return hex.EncodeToString(sum[:shortBytes])
}

// add adds a part with its length before it, so that none can pass for the end of another.
func add(digest hash.Hash, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write([]byte(part))
}

// callerOf drops the port, which is another one for each connection of a caller.
func callerOf(address string) string {
	whole, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return whole.Addr().Unmap().String()
}

// Target returns what the request asks for.
func (identity Identity) Target() Target {
	return Target(identity[:targetBytes])
}

// String returns the form for logs and records.
func (identity Identity) String() string {
	return hex.EncodeToString(identity[:])
}

// ParseIdentity reads the form that String returns; ErrIdentity says that it is none.
func ParseIdentity(text string) (Identity, error) {
	var identity Identity
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != identityBytes {
		return identity, errors.Wrap(ErrIdentity, text)
	}
	copy(identity[:], data)
	return identity, nil
}
