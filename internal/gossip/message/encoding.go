package message

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// One form for all words: deterministic, so that equal words are equal bytes, and bounded when read.
var (
	encoding, _ = cbor.CoreDetEncOptions().EncMode() // fixed options: they have no error
	decoding, _ = cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
)

// Encode words v, one of this package's types.
func Encode(v any) ([]byte, error) {
	text, err := encoding.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("wording %T: %w", v, err)
	}
	return text, nil
}

// Decode reads one word into v, whose length the caller has bounded. Fields of a later schema are passed over; anything after the word is an error.
func Decode(text []byte, v any) error {
	if err := decoding.Unmarshal(text, v); err != nil {
		return fmt.Errorf("reading %T: %w", v, err)
	}
	return nil
}
