package protocol

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	// Sorted, so that the same value is the same bytes each time.
	m, err := cbor.EncOptions{TextMarshaler: cbor.TextMarshalerTextString, Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err) // fixed options: cannot depend on input
	}
	return m
}

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:       cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels: 12,
		IndefLength:     cbor.IndefLengthAllowed,
		TextUnmarshaler: cbor.TextUnmarshalerTextString,
	}.DecMode()
	if err != nil {
		panic(err) // fixed options: cannot depend on input
	}
	return m
}

// Encode writes v as CBOR.
func Encode(v any) ([]byte, error) {
	b, err := encoder.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return b, nil
}

// Decode reads one CBOR item into v. Fields that v does not know are ignored.
func Decode(b []byte, v any) error {
	if err := decoder.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// RawValue is a value still in its CBOR form.
type RawValue = cbor.RawMessage
