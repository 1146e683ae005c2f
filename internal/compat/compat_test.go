// Package compat checks that controllers of this version and of earlier ones
// understand one another: that messages, records of the state service, their keys and
// the settings files have kept their form. Renaming a Go type, package or field must
// not change what is sent or stored.
//
// Each message and record is filled with sample data (see fill) and compared with a
// golden file in testdata and with a frozen copy of its struct. A change of the form
// that is meant, such as a field that is added, changes the frozen copy by hand and
// rewrites the golden files:
//
//	go test ./internal/compat -update
package compat

import (
	"bytes"
	"encoding/gob"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"damsonkeel/internal/protocol"

	"github.com/fxamacker/cbor/v2"
)

var update = flag.Bool("update", false, "rewrite the golden files from the present code")

// format is an encoding with the directory and the extension of its golden files.
type format struct {
	name   string
	naming naming
	// encode and decode are those of the present code, decodeFrozen reads into a frozen
	// copy.
	encode       func(v any) ([]byte, error)
	decode       func(b []byte, into any) error
	decodeFrozen func(b []byte, into any) error
	// encodeFrozen is nil if the same value may have several encodings.
	encodeFrozen func(v any) ([]byte, error)
}

var gobFormat = format{
	name: "gob", naming: gobNaming,
	encode: encodeGob, decode: decodeGob, decodeFrozen: decodeGob,
}

var cborFormat = format{
	name: "cbor", naming: cborNaming,
	encode: protocol.Encode, decode: protocol.Decode, decodeFrozen: cbor.Unmarshal,
	encodeFrozen: encodeSorted,
}

func encodeGob(v any) ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(v)
	return b.Bytes(), err
}

func decodeGob(b []byte, into any) error { return gob.NewDecoder(bytes.NewReader(b)).Decode(into) }

func encodeSorted(v any) ([]byte, error) {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(v)
}

// message is a message or a record: its present type and its frozen copy.
type message struct {
	name            string
	present, frozen reflect.Type
}

// entry makes a message of its two types.
func entry[Present, Frozen any](name string) message {
	return message{name, reflect.TypeFor[Present](), reflect.TypeFor[Frozen]()}
}

// checkMessages checks each message, filled with sample data.
func checkMessages(t *testing.T, f format, messages []message) {
	t.Helper()
	for _, m := range messages {
		t.Run(m.name, func(t *testing.T) {
			checkValues(t, f, m.name, sample(m.present, f.naming), sample(m.frozen, f.naming))
		})
	}
}

// checkValues checks that a value of the present code and its frozen copy have the same
// encoding, which is that of the golden file.
func checkValues(t *testing.T, f format, name string, present, frozen any) {
	t.Helper()
	encoded, err := f.encode(present)
	if err != nil {
		t.Fatal(err)
	}
	golden := goldenFile(t, filepath.Join(f.name, name+"."+f.name), encoded)
	checkDecoded(t, "the golden file read by the present code", f.decode, golden, present)
	checkDecoded(t, "the present encoding read into the frozen copy", f.decodeFrozen, encoded, frozen)
	checkDecoded(t, "the golden file read into the frozen copy", f.decodeFrozen, golden, frozen)
	if f.encodeFrozen == nil {
		return
	}
	checkBytes(t, "the present encoding", encoded, golden)
	encodedFrozen, err := f.encodeFrozen(frozen)
	if err != nil {
		t.Fatal(err)
	}
	checkBytes(t, "the encoding of the frozen copy", encodedFrozen, golden)
}

// checkDecoded decodes into a new value of want's type and compares it with want.
func checkDecoded(t *testing.T, what string, decode func([]byte, any) error, b []byte, want any) {
	t.Helper()
	got := reflect.New(reflect.TypeOf(want))
	if err := decode(b, got.Interface()); err != nil {
		t.Errorf("%s: %v", what, err)
		return
	}
	checkEqual(t, what, got.Elem().Interface(), want)
}

func checkEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: difference at %s", what, firstDifference(reflect.ValueOf(got), reflect.ValueOf(want), ""))
	}
}

func checkBytes(t *testing.T, what string, got, want []byte) {
	t.Helper()
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs from the golden file:\n%q\n%q", what, got, want)
	}
}

// goldenFile reads a golden file, after it is rewritten if that is asked for.
func goldenFile(t *testing.T, name string, present []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, present, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return readGolden(t, name)
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}
