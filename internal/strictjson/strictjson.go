// Package strictjson decodes JSON with comments and trailing commas into
// structs. It rejects unknown and repeated fields, and reports all errors of
// a document at once, each with its file, line and field (FieldError).
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// FieldError is one error in a document.
type FieldError struct {
	// File is the name of the document.
	File string `json:"file"`
	// Line counts from 1; 0 when the line is unknown.
	Line int `json:"line"`
	// Field is a path such as "routes[2].tier".
	Field string `json:"field"`
	// Problem describes the error.
	Problem string `json:"problem"`
}

// String returns the error in one line.
func (e FieldError) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Problem)
}

// FieldErrors is an error that lists all errors of a document.
type FieldErrors []FieldError

// Error returns one line for each error.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fieldError := range e {
		lines[i] = fieldError.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a decoded text with the lines of its fields and the errors
// found.
type Document struct {
	file   string
	text   []byte
	lines  map[string]int
	errors FieldErrors
}

// Decode decodes text into the struct that into points to. Unknown and
// repeated fields and values of the wrong type are errors. The returned
// document is never nil; Document.AddError adds further errors.
func Decode(file string, text []byte, into any) *Document {
	d := &Document{file: file, text: text, lines: make(map[string]int)}
	root, err := hujson.Parse(text)
	if err != nil {
		d.errors = append(d.errors, FieldError{File: file, Line: parseErrorLine(err), Field: "(document)", Problem: err.Error()})
		return d
	}
	d.decode(&root, "", reflect.ValueOf(into).Elem())
	return d
}

// AddError adds an error at a field, for checks by the caller.
func (d *Document) AddError(field, format string, args ...any) {
	d.errors = append(d.errors, FieldError{
		File: d.file, Line: d.lineOf(field), Field: field, Problem: fmt.Sprintf(format, args...),
	})
}

// Err returns the errors as one error, or nil when there are none.
func (d *Document) Err() error {
	if len(d.errors) == 0 {
		return nil
	}
	return d.errors
}

// FieldErrors returns the errors found so far.
func (d *Document) FieldErrors() FieldErrors { return d.errors }

// lineOf returns the line of a field, or of the innermost enclosing field
// whose line is known.
func (d *Document) lineOf(field string) int {
	for {
		if line, ok := d.lines[field]; ok {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return d.lines[""]
		}
		field = field[:cut]
	}
}

// decode decodes a value at a path; objects and arrays are decoded element by
// element, to record their lines.
func (d *Document) decode(value *hujson.Value, path string, into reflect.Value) {
	d.lines[path] = 1 + bytes.Count(d.text[:value.StartOffset], []byte{'\n'})
	switch v := value.Value.(type) {
	case *hujson.Object:
		if into.Kind() == reflect.Struct {
			d.decodeObject(v, path, into)
			return
		}
	case *hujson.Array:
		if into.Kind() == reflect.Slice {
			d.decodeArray(v, path, into)
			return
		}
	}
	standard := value.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), into.Addr().Interface()); err != nil {
		d.AddError(path, "%s", describeDecodeError(err, into))
	}
}

func (d *Document) decodeObject(object *hujson.Object, path string, into reflect.Value) {
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := fieldPath(path, name)
		if seen[name] {
			d.lines[memberPath] = d.lines[path]
			d.AddError(memberPath, "stands twice")
			continue
		}
		seen[name] = true
		field := fieldByTag(into, name)
		if !field.IsValid() {
			d.lines[memberPath] = 1 + bytes.Count(d.text[:member.Name.StartOffset], []byte{'\n'})
			d.AddError(memberPath, "unknown field")
			continue
		}
		d.decode(&member.Value, memberPath, field)
	}
}

func (d *Document) decodeArray(array *hujson.Array, path string, into reflect.Value) {
	slice := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decode(&array.Elements[i], path+"["+strconv.Itoa(i)+"]", slice.Index(i))
	}
	into.Set(slice)
}

func fieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldByTag returns the field with the JSON tag, or the zero Value.
func fieldByTag(into reflect.Value, name string) reflect.Value {
	for i := range into.NumField() {
		tag, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("json"), ",")
		if tag == name {
			return into.Field(i)
		}
	}
	return reflect.Value{}
}

// describeDecodeError names the expected type and the type found, if they do
// not match.
func describeDecodeError(err error, into reflect.Value) string {
	if mismatch, ok := err.(*json.UnmarshalTypeError); ok {
		return fmt.Sprintf("wants %s, not %s", into.Type(), mismatch.Value)
	}
	return err.Error()
}

// parseErrorLine extracts the line from the parser's message "line N, column
// M"; 0 if there is none.
func parseErrorLine(err error) int {
	var line, column int
	_, after, ok := strings.Cut(err.Error(), "line ")
	if !ok {
		return 0
	}
	if n, _ := fmt.Sscanf(after, "%d, column %d", &line, &column); n == 0 {
		return 0
	}
	return line
}
