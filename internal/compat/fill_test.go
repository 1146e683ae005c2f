package compat

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"strings"

	"damsonkeel/internal/protocol"

	"github.com/fxamacker/cbor/v2"
)

// mostDepth limits the nesting depth of sample data.
const mostDepth = 24

// naming describes how an encoding names the fields of structs.
type naming struct {
	// field returns the name of a field. The name of an embedded struct is empty if its
	// fields are encoded as fields of the outer struct.
	field func(reflect.StructField) string
	// opaque has functions that return the sample data of types that are not filled field
	// by field.
	opaque map[reflect.Type]func(path string) any
}

var gobNaming = naming{field: func(f reflect.StructField) string { return f.Name }}

var cborNaming = naming{
	field: cborName,
	opaque: map[reflect.Type]func(string) any{
		reflect.TypeFor[protocol.TaskID](): func(path string) any {
			return protocol.TaskID{Job: protocol.JobID(sampleJob(path)), Index: uint32(number(path))}
		},
		reflect.TypeFor[taskText](): func(path string) any {
			return taskText(fmt.Sprintf("%s/%d", sampleJob(path), number(path)))
		},
		reflect.TypeFor[cbor.RawMessage](): func(path string) any {
			b, err := cbor.Marshal(path)
			if err != nil {
				panic(err) // encoding a string never fails
			}
			return cbor.RawMessage(b)
		},
	},
}

// cborName returns the name of a field in CBOR: the name in its cbor tag, or else in its
// json tag, or else the name of the Go field.
func cborName(f reflect.StructField) string {
	for _, key := range []string{"cbor", "json"} {
		if name, _, _ := strings.Cut(f.Tag.Get(key), ","); name != "" {
			return name
		}
	}
	if f.Anonymous {
		return ""
	}
	return f.Name
}

// sample returns a value of a type without zero fields. The data of a field depend only on
// its path in the encoded value, not on the names or the order of Go types and fields.
func sample(t reflect.Type, n naming) any {
	v := reflect.New(t).Elem()
	n.fill(v, "", 0)
	return v.Interface()
}

// fill sets a value to sample data that depend on its path of encoded field names.
func (n naming) fill(v reflect.Value, path string, depth int) {
	if depth > mostDepth {
		panic(path + ": nested too deeply")
	}
	if opaque := n.opaque[v.Type()]; opaque != nil {
		v.Set(reflect.ValueOf(opaque(path)))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(number(path)))
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		v.SetUint(number(path))
	case reflect.Uint8:
		v.SetUint(number(path)%200 + 1)
	case reflect.Float64:
		v.SetFloat(float64(number(path)) + 0.25)
	case reflect.String:
		v.SetString("at " + path)
	case reflect.Interface:
		v.Set(reflect.ValueOf("at " + path))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		n.fill(v.Elem(), path, depth+1)
	case reflect.Slice:
		n.fillSlice(v, path, depth)
	case reflect.Map:
		n.fillMap(v, path, depth)
	case reflect.Struct:
		n.fillStruct(v, path, depth)
	default:
		panic(fmt.Sprintf("%s: no sample data of %v", path, v.Type()))
	}
}

// fillSlice sets a slice to two elements of sample data.
func (n naming) fillSlice(v reflect.Value, path string, depth int) {
	v.Set(reflect.MakeSlice(v.Type(), 2, 2))
	for i := range v.Len() {
		n.fill(v.Index(i), fmt.Sprintf("%s[%d]", path, i), depth+1)
	}
}

// fillMap sets a map to two entries of sample data.
func (n naming) fillMap(v reflect.Value, path string, depth int) {
	v.Set(reflect.MakeMap(v.Type()))
	for i := range 2 {
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		n.fill(key, fmt.Sprintf("%s key %d", path, i), depth+1)
		n.fill(value, fmt.Sprintf("%s[%d]", path, i), depth+1)
		v.SetMapIndex(key, value)
	}
}

// fillStruct fills all fields of a struct, which must be exported.
func (n naming) fillStruct(v reflect.Value, path string, depth int) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if !f.IsExported() {
			panic(fmt.Sprintf("%s: field %s of %v is not sent", path, f.Name, v.Type()))
		}
		inner := path
		if name := n.field(f); name != "" {
			inner += "." + name
		}
		n.fill(v.Field(i), inner, depth+1)
	}
}

// number returns a positive number that depends on a path.
func number(path string) uint64 {
	h := fnv.New32a()
	h.Write([]byte(path))
	return uint64(h.Sum32()%99_991) + 1
}

// sampleJob returns a job id that depends on a path.
func sampleJob(path string) string { return fmt.Sprintf("job-%06d", number(path+" job")) }

// firstDifference describes the first difference between two values of the same type.
func firstDifference(got, want reflect.Value, path string) string {
	different := func(g, w reflect.Value, name string) (string, bool) {
		if reflect.DeepEqual(g.Interface(), w.Interface()) {
			return "", false
		}
		return firstDifference(g, w, path+name), true
	}
	switch {
	case want.Kind() == reflect.Pointer && !got.IsNil() && !want.IsNil():
		return firstDifference(got.Elem(), want.Elem(), path)
	case want.Kind() == reflect.Struct:
		for i := range want.NumField() {
			if d, ok := different(got.Field(i), want.Field(i), "."+want.Type().Field(i).Name); ok {
				return d
			}
		}
	case want.Kind() == reflect.Slice && got.Len() == want.Len():
		for i := range want.Len() {
			if d, ok := different(got.Index(i), want.Index(i), fmt.Sprintf("[%d]", i)); ok {
				return d
			}
		}
	}
	return fmt.Sprintf("%q: %#v, want %#v", path, got.Interface(), want.Interface())
}

// zeroFields returns the paths of all zero fields, including those of nested structs.
func zeroFields(v reflect.Value, path string) []string {
	switch {
	case v.IsZero():
		return []string{path}
	case v.Kind() == reflect.Pointer:
		return zeroFields(v.Elem(), path)
	}
	var zero []string
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			zero = append(zero, zeroFields(v.Field(i), path+"."+v.Type().Field(i).Name)...)
		}
	case reflect.Slice:
		for i := range v.Len() {
			zero = append(zero, zeroFields(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
		}
	}
	return zero
}
