package registrar_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/registrar"
)

type fakeService struct {
	name  string
	fail  error
	trace *[]string
}

type brokenError struct{}

func (brokenError) Error() string { return "broken" }

func (p fakeService) String() string { return p.name }

func (p fakeService) Start(context.Context, *registrar.Registrar) error {
	*p.trace = append(*p.trace, "start "+p.name)
	return p.fail
}

func (p fakeService) Stop(time.Time) error {
	*p.trace = append(*p.trace, "stop "+p.name)
	return nil
}

func TestFailedStartStopsStartedServices(t *testing.T) {
	var trace []string
	kernel := registrar.New(zap.NewNop())
	assert.NilError(t, kernel.Add(fakeService{name: "first", trace: &trace}))
	assert.NilError(t, kernel.Add(fakeService{name: "second", trace: &trace, fail: brokenError{}}))

	err := kernel.Start(context.Background(), time.Time{})

	assert.ErrorType(t, err, &registrar.StartError{})
	assert.DeepEqual(t, trace, []string{"start first", "start second", "stop first"})
}

func TestAddRefusesADuplicateName(t *testing.T) {
	var trace []string
	kernel := registrar.New(zap.NewNop())
	assert.NilError(t, kernel.Add(fakeService{name: "one", trace: &trace}))

	err := kernel.Add(fakeService{name: "one", trace: &trace})

	assert.ErrorType(t, err, &registrar.DuplicateServiceError{})
}

func TestFindReportsAMissingName(t *testing.T) {
	_, err := registrar.Find[fakeService](registrar.New(zap.NewNop()), "absent")

	assert.ErrorType(t, err, &registrar.MissingServiceError{})
}
