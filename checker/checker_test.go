package checker_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/checker"
)

func TestReaderReportsAllFaults(t *testing.T) {
	reader := checker.New(map[string]string{
		"listen":  "somewhere",
		"drain":   "-3s",
		"voters":  "seven",
		"members": "a=1,b",
		"keys":    "/does/not/exist",
	})

	reader.Address("listen")
	reader.Duration("drain")
	reader.Count("voters", 1, 7)
	reader.Pairs("members")
	reader.File("keys")
	reader.Required("name")

	var faults *checker.SettingsError
	assert.Assert(t, errors.As(reader.Err(), &faults))
	assert.Equal(t, len(faults.Faults), 6)
}

func TestReaderReturnsTypedValues(t *testing.T) {
	reader := checker.New(map[string]string{
		"listen":  "127.0.0.1:7400",
		"drain":   "3s",
		"voters":  "3",
		"rate":    "1.4",
		"members": "a=1, b=2",
		"check":   "true",
	})

	assert.Equal(t, reader.Address("listen"), "127.0.0.1:7400")
	assert.Equal(t, reader.Duration("drain"), 3*time.Second)
	assert.Equal(t, reader.Count("voters", 1, 7), 3)
	assert.Equal(t, reader.Rate("rate"), 1.4)
	assert.DeepEqual(t, reader.Pairs("members"), []checker.Pair{{Name: "a", Value: "1"}, {Name: "b", Value: "2"}})
	assert.Assert(t, reader.Switch("check"))
	assert.NilError(t, reader.Err())
}

func TestDefinitionPrefersTheEnvironmentToTheDefault(t *testing.T) {
	definition := checker.Definition{Name: "drain-grace", Default: "1s"}
	assert.Equal(t, definition.Initial(), "1s")

	t.Setenv("BURDOCKLINK_DRAIN_GRACE", "2s")

	assert.Equal(t, definition.Initial(), "2s")
}
