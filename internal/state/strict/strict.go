// Package strict decodes JSON from people and other programs. Unknown fields,
// duplicate keys, trailing bytes and truncated input are errors.
//
// The state of the configuration holds the error texts of Check as the reasons of
// verdicts. Instances whose texts differ therefore hold different states.
package strict

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// maxDepth is the deepest allowed nesting of objects and arrays.
const maxDepth = 64

// Decode decodes data into v. It returns an error if data does not pass Check, has
// a field that v lacks or does not fit the type of v.
func Decode(data []byte, v any) error {
	if err := Check(data); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// Check returns an error unless data is exactly one JSON value without duplicate
// keys and nested at most maxDepth levels.
func Check(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := checkValue(d, 0); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return errors.New("input ends in the middle of a value")
		}
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more bytes after the value")
	}
	return nil
}

func checkValue(d *json.Decoder, depth int) error {
	if depth > maxDepth {
		return errors.Errorf("nested deeper than %d levels", maxDepth)
	}
	t, err := d.Token()
	if err != nil {
		return err
	}
	switch t {
	case json.Delim('{'):
		return checkObject(d, depth)
	case json.Delim('['):
		return checkArray(d, depth)
	}
	return nil
}

func checkObject(d *json.Decoder, depth int) error {
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return err
		}
		key, ok := t.(string)
		if !ok {
			return errors.Errorf("key %v is not a string", t)
		}
		if seen[key] {
			return errors.Errorf("key %q stands twice", key)
		}
		seen[key] = true
		if err := checkValue(d, depth+1); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func checkArray(d *json.Decoder, depth int) error {
	for d.More() {
		if err := checkValue(d, depth+1); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}
