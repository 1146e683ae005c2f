// Package compat checks that controllers of this version are compatible with controllers
// of earlier versions: the encodings of messages and of records of the key-value store, the
// keys of these records and the formats of the settings files must not change. Renaming a
// Go type, package or field must not change what is sent or stored.
//
// Each message and record is filled with sample data (see fill), encoded, and compared
// with a golden file in testdata and with a frozen copy of its struct. To change an
// encoding on purpose, for example to add a field, edit the frozen copy by hand and
// rewrite the golden files. A golden file has the encoding of the sample data as it must
// remain; a frozen copy is a struct of the encoded fields as they were when it was written,
// independent of the present types:
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

// format is an encoding. Its name is the directory and the extension of its golden files.
type format struct {
	name   string
	naming naming
	// encode and decode are the functions of the present code. decodeFrozen decodes into
	// a frozen copy.
	encode       func(v any) ([]byte, error)
	decode       func(b []byte, into any) error
	decodeFrozen func(b []byte, into any) error
	// encodeFrozen encodes a frozen copy. It is nil if a value may have several encodings;
	// encodings are then not compared byte by byte.
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

// message describes a message or a record: the present type and the frozen copy of it.
type message struct {
	name            string
	present, frozen reflect.Type
}

// entry returns the message with the present type Present and the frozen copy Frozen.
func entry[Present, Frozen any](name string) message {
	return message{name, reflect.TypeFor[Present](), reflect.TypeFor[Frozen]()}
}

// checkMessages checks the encoding of each message, filled with sample data.
func checkMessages(t *testing.T, f format, messages []message) {
	t.Helper()
	for _, m := range messages {
		t.Run(m.name, func(t *testing.T) {
			checkValues(t, f, m.name, sample(m.present, f.naming), sample(m.frozen, f.naming))
		})
	}
}

// checkValues checks that the golden file decodes to the value present with the present
// code and to the value frozen with the frozen copy, and that the present encoding of
// present decodes to frozen. If the format has an encodeFrozen, the encodings of both
// values must also equal the golden file.
func checkValues(t *testing.T, f format, name string, present, frozen any) {
	t.Helper()
	encoded, err := f.encode(present)
	if err != nil {
		t.Fatal(err)
	}
	golden := goldenFile(t, filepath.Join(f.name, name+"."+f.name), encoded)
	checkDecoded(t, "golden file decoded by the present code", f.decode, golden, present)
	checkDecoded(t, "present encoding decoded into the frozen copy", f.decodeFrozen, encoded, frozen)
	checkDecoded(t, "golden file decoded into the frozen copy", f.decodeFrozen, golden, frozen)
	if f.encodeFrozen == nil {
		return
	}
	checkBytes(t, "present encoding", encoded, golden)
	encodedFrozen, err := f.encodeFrozen(frozen)
	if err != nil {
		t.Fatal(err)
	}
	checkBytes(t, "encoding of the frozen copy", encodedFrozen, golden)
}

// checkDecoded decodes b into a new value of the type of want and compares the two values.
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
		t.Errorf("%s: first difference at %s", what, firstDifference(reflect.ValueOf(got), reflect.ValueOf(want), ""))
	}
}

func checkBytes(t *testing.T, what string, got, want []byte) {
	t.Helper()
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs from the golden file:\ngot  %q\nwant %q", what, got, want)
	}
}

// goldenFile reads a golden file. With the flag -update it first writes present to the
// file.
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
