package message

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// All messages have one encoding. It is deterministic, so that equal messages have equal bytes, and decoding is
// bounded.
var (
	encMode, _ = cbor.CoreDetEncOptions().EncMode() // these fixed options cause no error
	decMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
)

// Encode returns the encoding of v, a value of one of this package's types.
func Encode(v any) ([]byte, error) {
	encoded, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encoding %T: %w", v, err)
	}
	return encoded, nil
}

// Decode decodes one message into v; the caller has to bound its length. Fields of a later schema are ignored;
// bytes after the message are an error.
func Decode(encoded []byte, v any) error {
	if err := decMode.Unmarshal(encoded, v); err != nil {
		return fmt.Errorf("decoding %T: %w", v, err)
	}
	return nil
}
