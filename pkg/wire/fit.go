package wire

import (
	"bytes"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// fit converts a CBOR item that another release encoded to the fields that type t has in
// this release: it drops fields that this release does not know, and sets those that the
// other release does not send to zero. Fields are only ever added at the end of a frame.
// Source: docs/design/links.md, "Releases".
func (c *Codec) fit(raw []byte, t reflect.Type) ([]byte, error) {
	switch {
	case t.Kind() == reflect.Struct:
		return c.fitStruct(raw, t)
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return c.fitSlice(raw, t.Elem())
	}
	return raw, nil
}

func (c *Codec) fitStruct(raw []byte, t reflect.Type) ([]byte, error) {
	items, err := c.decodeArray(raw)
	if err != nil {
		return nil, err
	}
	var out []cbor.RawMessage
	for _, field := range reflect.VisibleFields(t) {
		if !field.IsExported() {
			continue
		}
		item, err := c.fitField(items, len(out), field.Type)
		if err != nil {
			return nil, errors.Wrap(err, field.Name)
		}
		out = append(out, item)
	}
	return c.encode(out)
}

// fitField returns the item at an index of an array, converted to type t, or the encoded
// zero value if the other release does not send this field.
func (c *Codec) fitField(items []cbor.RawMessage, index int, t reflect.Type) (cbor.RawMessage, error) {
	if index >= len(items) {
		return c.encode(reflect.Zero(t).Interface())
	}
	return c.fit(items[index], t)
}

func (c *Codec) fitSlice(raw []byte, element reflect.Type) ([]byte, error) {
	items, err := c.decodeArray(raw)
	if err != nil || items == nil {
		return raw, err
	}
	for i := range items {
		if items[i], err = c.fit(items[i], element); err != nil {
			return nil, err
		}
	}
	return c.encode(items)
}

// decodeArray returns the encoded items of a CBOR array, and nil for null.
func (c *Codec) decodeArray(raw []byte) (items []cbor.RawMessage, err error) {
	err = c.dec.Unmarshal(raw, &items)
	return items, err
}

func (c *Codec) encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	err := c.enc.MarshalToBuffer(v, &buf)
	return buf.Bytes(), err
}
