package protocol

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// maxNestedLevels is the maximum nesting depth of received CBOR data.
const maxNestedLevels = 12

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	// Sorted map keys make the encoding of a value deterministic.
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

// Encode encodes v as CBOR, equal values always to the same bytes.
func Encode(v any) ([]byte, error) {
	b, err := encoder.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return b, nil
}

// Decode decodes b, which must be a single CBOR item, into v and ignores unknown fields. It
// refuses duplicate map keys and items nested deeper than maxNestedLevels. Its error texts
// contain the name of the type of v.
func Decode(b []byte, v any) error {
	if err := decoder.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// RawValue is a CBOR value whose decoding is deferred.
type RawValue = cbor.RawMessage
