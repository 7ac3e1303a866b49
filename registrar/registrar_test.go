package registrar_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/registrar"
)

type part struct {
	name  string
	fail  error
	trace *[]string
}

type brokenError struct{}

func (brokenError) Error() string { return "broken" }

func (p part) String() string { return p.name }

func (p part) Start(context.Context, *registrar.Registrar) error {
	*p.trace = append(*p.trace, "start "+p.name)
	return p.fail
}

func (p part) Stop(time.Time) error {
	*p.trace = append(*p.trace, "stop "+p.name)
	return nil
}

func TestStartStopsWhatStartedBeforeAFailure(t *testing.T) {
	var trace []string
	kernel := registrar.New(zap.NewNop())
	assert.NilError(t, kernel.Add(part{name: "first", trace: &trace}))
	assert.NilError(t, kernel.Add(part{name: "second", trace: &trace, fail: brokenError{}}))

	err := kernel.Start(context.Background(), time.Time{})

	assert.ErrorType(t, err, &registrar.StartError{})
	assert.DeepEqual(t, trace, []string{"start first", "start second", "stop first"})
}

func TestAddRefusesASecondServiceOfOneName(t *testing.T) {
	var trace []string
	kernel := registrar.New(zap.NewNop())
	assert.NilError(t, kernel.Add(part{name: "one", trace: &trace}))

	err := kernel.Add(part{name: "one", trace: &trace})

	assert.ErrorType(t, err, &registrar.DuplicateServiceError{})
}

func TestFindReportsAMissingName(t *testing.T) {
	_, err := registrar.Find[part](registrar.New(zap.NewNop()), "absent")

	assert.ErrorType(t, err, &registrar.MissingServiceError{})
}
