package strict

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// Elements calls decode for each element of the array in data, but at most max
// times; decode must decode one value with the decoder. The decoder refuses
// unknown fields if strict is set. data must be valid JSON, as it is in
// UnmarshalJSON; null counts as an empty array.
//
// A list with a limit is decoded by this, since encoding/json decodes all elements
// of a slice, and a small body can have very many.
func Elements(data []byte, max int, strict bool, decode func(d *json.Decoder) error) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if strict {
		d.DisallowUnknownFields()
	}
	switch t, err := d.Token(); {
	case err != nil:
		return err
	case t == nil:
		return nil
	case t != json.Delim('['):
		return errors.Errorf("got %.20s, want an array", data)
	}
	for n := 0; n < max && d.More(); n++ {
		if err := decode(d); err != nil {
			return err
		}
	}
	return nil
}
