package main

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"

	"github.com/rushramp/rushramp/pkg/settings"
)

// settingsPage writes a table for each settings section, from the comments,
// tags and defaults of the settings structs.
func settingsPage() ([]byte, error) {
	comments, err := fieldComments("pkg/settings/settings.go")
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	out.WriteString("# Settings\n\n" + notice)
	out.WriteString("One YAML file a daemon, named with `--settings`. Unknown fields are refused. `rushramp settings check FILE` checks a file without starting anything.\n\n")
	w := &sectionWriter{out: &out, comments: comments}
	w.section("", reflect.ValueOf(settings.Default()))
	return out.Bytes(), nil
}

// sectionWriter writes settings sections. comments maps "Struct.Field" to the
// field's doc comment.
type sectionWriter struct {
	out      *bytes.Buffer
	comments map[string]string
}

// section writes the plain fields of a struct, then its nested sections.
func (w *sectionWriter) section(path string, v reflect.Value) {
	title, prefix := "Top level", ""
	if path != "" {
		title, prefix = "`"+path+"`", path+"."
	}
	fmt.Fprintf(w.out, "## %s\n\n| field | default | allowed | meaning |\n|---|---|---|---|\n", title)
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if isSection(field.Type) {
			continue
		}
		fmt.Fprintf(w.out, "| `%s%s` | %s | %s | %s |\n", prefix, field.Tag.Get("yaml"), defaultOf(v.Field(i)),
			allowedOf(field.Tag.Get("validate")), w.comments[v.Type().Name()+"."+field.Name])
	}
	w.out.WriteString("\n")
	for i := range v.NumField() {
		if field := v.Type().Field(i); isSection(field.Type) {
			w.section(prefix+field.Tag.Get("yaml"), v.Field(i))
		}
	}
}

func isSection(t reflect.Type) bool { return t.Kind() == reflect.Struct }

func defaultOf(v reflect.Value) string {
	text := fmt.Sprint(v.Interface())
	if text == "" || v.Kind() == reflect.Slice || v.Kind() == reflect.Map {
		return "none"
	}
	return "`" + text + "`"
}

func allowedOf(tag string) string {
	tag = strings.NewReplacer("omitempty,", "", "omitempty", "", "dive", "", "ip_port", "IP number and port", "oneof=", "one of ", "|", "\\|").Replace(tag)
	return strings.Trim(strings.ReplaceAll(tag, ",", ", "), ", ")
}

// fieldComments returns the doc comments of all struct fields in a file, by
// "Struct.Field".
func fieldComments(path string) (map[string]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	out := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		fields, ok := spec.Type.(*ast.StructType)
		if !ok {
			return true
		}
		for _, f := range fields.Fields.List {
			out[spec.Name.Name+"."+f.Names[0].Name] = strings.Join(strings.Fields(f.Doc.Text()), " ")
		}
		return true
	})
	return out, nil
}
