package tomltext

import (
	"encoding"
	"reflect"
)

// Decode fills the struct that into points to by its toml tags. Supported are
// strings, booleans, integers, string lists, encoding.TextUnmarshaler, structs,
// pointers to structs and slices of structs. Unlike a decoder that stops at the
// first value of a wrong type it goes on and reports each of them, and every
// unknown key.
func Decode(t *Table, into any) {
	decodeStruct(t, reflect.ValueOf(into).Elem())
}

func decodeStruct(t *Table, v reflect.Value) {
	for i := range v.NumField() {
		if key := v.Type().Field(i).Tag.Get("toml"); key != "" {
			decodeField(t, key, v.Field(i))
		}
	}
	t.RejectUnknownKeys()
}

func decodeField(t *Table, key string, v reflect.Value) {
	if _, set := t.Value(key); !set {
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		decodeText(t, key, u)
		return
	}
	switch v.Kind() {
	case reflect.String:
		s, _ := t.String(key)
		v.SetString(s)
	case reflect.Bool:
		b, _ := valueOfType[bool](t, key, "a boolean")
		v.SetBool(b)
	case reflect.Int, reflect.Int32, reflect.Int64, reflect.Uint32, reflect.Uint64:
		decodeInteger(t, key, v)
	case reflect.Struct:
		if sub, ok := t.Table(key); ok {
			decodeStruct(sub, v)
		}
	case reflect.Pointer:
		if sub, ok := t.Table(key); ok {
			v.Set(reflect.New(v.Type().Elem()))
			decodeStruct(sub, v.Elem())
		}
	case reflect.Slice:
		decodeSlice(t, key, v)
	default:
		panic("tomltext: no decoding for " + v.Type().String() + ", the type of " + t.Path(key))
	}
}

func decodeText(t *Table, key string, u encoding.TextUnmarshaler) {
	s, ok := t.String(key)
	if !ok {
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		t.AddProblem(key, "%s", err)
	}
}

func decodeInteger(t *Table, key string, v reflect.Value) {
	n, ok := t.Int(key)
	if !ok {
		return
	}
	if v.CanInt() && !v.OverflowInt(n) {
		v.SetInt(n)
		return
	}
	if v.CanUint() && n >= 0 && !v.OverflowUint(uint64(n)) {
		v.SetUint(uint64(n))
		return
	}
	t.AddProblem(key, "%d is out of range", n)
}

func decodeSlice(t *Table, key string, v reflect.Value) {
	if v.Type().Elem().Kind() == reflect.String {
		v.Set(reflect.ValueOf(t.Strings(key)))
		return
	}
	for _, sub := range t.Tables(key) {
		element := reflect.New(v.Type().Elem()).Elem()
		decodeStruct(sub, element)
		v.Set(reflect.Append(v, element))
	}
}
