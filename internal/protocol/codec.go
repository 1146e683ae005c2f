package protocol

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// maxNestedLevels bounds the nesting of what others send.
const maxNestedLevels = 12

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	// Keys are sorted so that a value always has the same bytes.
	mode, err := cbor.EncOptions{TextMarshaler: cbor.TextMarshalerTextString, Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:       cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels: maxNestedLevels,
		IndefLength:     cbor.IndefLengthAllowed,
		TextUnmarshaler: cbor.TextUnmarshalerTextString,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Encode encodes v as CBOR.
func Encode(v any) ([]byte, error) {
	b, err := encoder.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return b, nil
}

// Decode decodes one CBOR item into v and ignores unknown fields. The name of the type of
// v is part of its errors.
func Decode(b []byte, v any) error {
	if err := decoder.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// RawValue is a value that is not decoded yet.
type RawValue = cbor.RawMessage
