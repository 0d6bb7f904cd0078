package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/netip"

	"github.com/pkg/errors"
)

// identityBytes is enough that no two requests ever share an identity by chance.
const identityBytes = 16

// ErrIdentity means that a text is no identity.
var ErrIdentity = errors.New("not the identity of a request")

// Identity tells requests apart that a caller sends again with another request ID. It is a digest, so that neither
// memory nor logs hold what a caller sent.
type Identity [identityBytes]byte

// Parts are what makes two requests the same one.
type Parts struct {
	Method string
	// Domain and Target are the host that was asked for, and path with query as they came.
	Domain string
	Target string
	// Caller is the caller's address, with or without a port.
	Caller string
	// Body is whole; how it came in parts says nothing.
	Body []byte
}

// Identify returns the identity of a request.
func Identify(parts Parts) Identity {
	digest := sha256.New()
	for _, part := range []string{parts.Method, parts.Domain, parts.Target, callerOf(parts.Caller)} {
		// With its length before it, no part can pass for the end of another.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write([]byte(part))
	}
	_, _ = digest.Write(parts.Body)
	var identity Identity
	copy(identity[:], digest.Sum(nil))
	return identity
}

// callerOf drops the port, which is another one for each connection of a caller.
func callerOf(address string) string {
	whole, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return whole.Addr().Unmap().String()
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
