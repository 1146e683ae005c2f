package protocol

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"
)

// TestDocumentationListsEveryWireField checks that the tables in doc.go have a line for
// each pair of a wire field and its Go field.
func TestDocumentationListsEveryWireField(t *testing.T) {
	doc, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[[2]string]bool{}
	for line := range strings.Lines(string(doc)) {
		if words := strings.Fields(line); len(words) > 3 && strings.HasPrefix(line, "//\t") {
			documented[[2]string{words[1], words[2]}] = true
		}
	}
	entries, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	fields := 0
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), ".go") || strings.HasSuffix(entry.Name(), "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), entry.Name(), nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			field, ok := n.(*ast.Field)
			if !ok || field.Tag == nil {
				return true
			}
			tag, err := strconv.Unquote(field.Tag.Value)
			if err != nil {
				t.Fatal(err)
			}
			wire, _, _ := strings.Cut(reflect.StructTag(tag).Get("cbor"), ",")
			fields++
			if !documented[[2]string{wire, field.Names[0].Name}] {
				t.Errorf("%s: wire field %s of Go field %s is not documented in doc.go", entry.Name(), wire, field.Names[0].Name)
			}
			return true
		})
	}
	if fields < len(documented) {
		t.Errorf("%d wire fields exist, but doc.go documents %d", fields, len(documented))
	}
}
