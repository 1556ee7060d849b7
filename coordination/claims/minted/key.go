package minted

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"strconv"
	"strings"

	"github.com/figstile/figstile/state"
)

const (
	// prefix distinguishes issued keys from keys that callers choose
	// themselves.
	prefix = "fk1:"
	// macBytes is the length of the authentication code. A code of 16 bytes
	// cannot be guessed within a key's lifetime.
	macBytes = 16
	// keyFields is the number of fields of a key: data centre, router,
	// incarnation, sequence and code.
	keyFields = 5
	separator = ":"
)

// errMalformedKey is returned for a text that is not an issued key.
var errMalformedKey = errors.New("minted: not an issued key")

// Key is one issued key. The code binds it to a workspace and to the secret of
// the incarnation that issued it.
type Key struct {
	DataCentre  state.DataCentre
	Router      state.Router
	Incarnation state.Incarnation
	Sequence    uint64
	code        [macBytes]byte
}

// IsMinted reports whether a caller's key has the prefix of issued keys.
func IsMinted(key string) bool { return strings.HasPrefix(key, prefix) }

// String returns the key as callers send it.
func (k Key) String() string {
	return prefix + strings.Join([]string{
		string(k.DataCentre),
		string(k.Router),
		strconv.FormatUint(uint64(k.Incarnation), 10),
		strconv.FormatUint(k.Sequence, 10),
		base64.RawURLEncoding.EncodeToString(k.code[:]),
	}, separator)
}

// Parse parses a key without checking its code.
func Parse(text string) (Key, error) {
	fields := strings.Split(strings.TrimPrefix(text, prefix), separator)
	if !IsMinted(text) || len(fields) != keyFields {
		return Key{}, errMalformedKey
	}
	incarnation, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return Key{}, errMalformedKey
	}
	sequence, err := strconv.ParseUint(fields[3], 10, 64)
	if err != nil {
		return Key{}, errMalformedKey
	}
	code, err := base64.RawURLEncoding.DecodeString(fields[4])
	if err != nil || len(code) != macBytes {
		return Key{}, errMalformedKey
	}
	return Key{
		DataCentre:  state.DataCentre(fields[0]),
		Router:      state.Router(fields[1]),
		Incarnation: state.Incarnation(incarnation),
		Sequence:    sequence,
		code:        [macBytes]byte(code),
	}, nil
}

// sign returns the authentication code of a key for a workspace.
func (k Key) sign(secret []byte, ws state.Workspace) [macBytes]byte {
	mac := hmac.New(sha256.New, secret)
	var buf []byte
	for _, field := range []string{string(ws), string(k.DataCentre), string(k.Router)} {
		buf = binary.AppendUvarint(buf, uint64(len(field)))
		buf = append(buf, field...)
	}
	buf = binary.BigEndian.AppendUint64(buf, uint64(k.Incarnation))
	buf = binary.BigEndian.AppendUint64(buf, k.Sequence)
	_, _ = mac.Write(buf)
	return [macBytes]byte(mac.Sum(nil)[:macBytes])
}

func (k Key) signedBy(secret []byte, ws state.Workspace) bool {
	code := k.sign(secret, ws)
	return hmac.Equal(code[:], k.code[:])
}
