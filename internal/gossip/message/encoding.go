package message

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// One encoding for all messages: deterministic, so that equal messages are equal bytes, and bounded when
// decoded.
var (
	encMode, _ = cbor.CoreDetEncOptions().EncMode() // fixed options: they have no error
	decMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
)

// Encode encodes v, one of this package's types.
func Encode(v any) ([]byte, error) {
	text, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("wording %T: %w", v, err)
	}
	return text, nil
}

// Decode decodes one message into v; the caller has bounded its length. Fields of a later schema are ignored;
// anything after the message is an error.
func Decode(text []byte, v any) error {
	if err := decMode.Unmarshal(text, v); err != nil {
		return fmt.Errorf("reading %T: %w", v, err)
	}
	return nil
}
