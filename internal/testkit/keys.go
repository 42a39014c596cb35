package testkit

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// EncodedKeys lists the keys under which encoding with a struct tag (json, toml) reads or writes a type, nested ones behind a dot,
// sorted. A field without the tag counts under its own name. Slices, maps and pointers are looked through; a type that decodes
// itself counts as one value.
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
