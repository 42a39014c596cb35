package testkit

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// EncodedKeys returns the sorted keys of a value's type in an encoding that is configured by struct tags, such as json or toml. The
// key of a field of a nested struct is its path, with dots between the names. A field without the tag has its own name as its key.
// For slices, maps and pointers the keys are those of the element type. A json.RawMessage, or a type of package time, is one value.
func EncodedKeys(value any, tag string) []string {
	var keys []string
	collectKeys(reflect.TypeOf(value), tag, "", &keys)
	slices.Sort(keys)
	return keys
}

var rawMessage = reflect.TypeFor[json.RawMessage]()

func collectKeys(kind reflect.Type, tag, prefix string, keys *[]string) {
	for kind.Kind() == reflect.Slice || kind.Kind() == reflect.Map || kind.Kind() == reflect.Pointer {
		if kind == rawMessage {
			return
		}
		kind = kind.Elem()
	}
	if kind.Kind() != reflect.Struct || kind.PkgPath() == "time" {
		return
	}
	for i := range kind.NumField() {
		field := kind.Field(i)
		if !field.IsExported() {
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get(tag), ",")
		switch {
		case name == "-":
			continue
		case name == "" && field.Anonymous:
			collectKeys(field.Type, tag, prefix, keys)
			continue
		case name == "":
			name = field.Name
		}
		*keys = append(*keys, prefix+name)
		collectKeys(field.Type, tag, prefix+name+".", keys)
	}
}
