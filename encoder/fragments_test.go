package encoder_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
)

func TestElementsHoldBesideOddOnes(t *testing.T) {
	cases := map[string]string{
		"nested objects": strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000),
		"nested arrays":  strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"bad word":       "nil",
		"bad bytes":      "\x00\xff",
		"not closed":     `{"a":[1}`,
		"text":           `"a,]}\"b"`,
		"empty":          "",
	}
	for name, odd := range cases {
		t.Run(name, func(t *testing.T) {
			elements, err := encoder.Elements([]byte(` [ {"n":1} , ` + odd + ` ,{"n":[2,"]"]}] `))
			assert.NilError(t, err)
			assert.Equal(t, len(elements), 3)
			assert.Equal(t, string(elements[0]), `{"n":1}`)
			assert.Equal(t, string(elements[1]), odd)
			assert.Equal(t, string(elements[2]), `{"n":[2,"]"]}`)
		})
	}
}

func TestFieldsOfAnObject(t *testing.T) {
	fields, err := encoder.Fields([]byte(`{"Instances":[1,{"a":2}],"next\u0054oken":"p"}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, fields, map[string]json.RawMessage{"instances": []byte(`[1,{"a":2}]`), "nexttoken": []byte(`"p"`)})
	for _, text := range []string{"", "[]", "{", `{"a"}`, `{"a":1}x`, `{a:1}`, "null", `{"a":1 "b":2`} {
		_, err := encoder.Fields([]byte(text))
		var fault *encoder.FragmentError
		assert.Assert(t, errors.As(err, &fault), text)
	}
}

func FuzzElements(f *testing.F) {
	f.Add([]byte(`[1,{"a":[2]}]`), []byte(`{"b":"]"}`))
	f.Fuzz(func(t *testing.T, data, element []byte) {
		_, _ = encoder.Fields(data)
		elements, err := encoder.Elements(data)
		if err == nil && json.Valid(data) {
			var want []json.RawMessage
			assert.NilError(t, json.Unmarshal(data, &want))
			assert.Equal(t, len(elements), len(want))
		}
		if json.Valid(element) {
			elements, err := encoder.Elements([]byte("[" + string(element) + "," + string(element) + "]"))
			assert.NilError(t, err)
			assert.Equal(t, len(elements), 2)
		}
	})
}
