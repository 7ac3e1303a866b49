// Package registrar manages the services of a process: it starts them in order, lets
// them find each other by name and stops them in reverse order.
package registrar

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Service is one part of a process.
type Service interface {
	// String returns the name of the service, for lookups and logs.
	String() string
	// Start starts the service and returns when it is ready for use.
	Start(ctx context.Context, kernel *Registrar) error
	// Stop stops the service before the deadline. It is called once.
	Stop(deadline time.Time) error
}

// Registrar holds the services of a process.
type Registrar struct {
	log     *zap.Logger
	order   []Service
	byName  map[string]Service
	started []Service
}

// MissingServiceError reports that there is no service with the name and type.
type MissingServiceError struct{ Name string }

// Error names the service.
func (e *MissingServiceError) Error() string { return "no service named " + e.Name }

// DuplicateServiceError reports that two services have the same name.
type DuplicateServiceError struct{ Name string }

// Error names the services.
func (e *DuplicateServiceError) Error() string { return "two services named " + e.Name }

// StartError reports that a service failed to start.
type StartError struct {
	Name  string
	Cause error
}

// Error names the service and the cause.
func (e *StartError) Error() string { return "start " + e.Name + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// New returns a registrar without services.
func New(log *zap.Logger) *Registrar {
	return &Registrar{log: log, byName: map[string]Service{}}
}

// Add appends a service to the start order. The error is a *DuplicateServiceError.
func (r *Registrar) Add(service Service) error {
	name := service.String()
	if _, taken := r.byName[name]; taken {
		return &DuplicateServiceError{Name: name}
	}
	r.byName[name] = service
	r.order = append(r.order, service)
	return nil
}

// Find returns the service with the name and type. The error is a
// *MissingServiceError.
func Find[T Service](r *Registrar, name string) (T, error) {
	found, ok := r.byName[name].(T)
	if !ok {
		var none T
		return none, &MissingServiceError{Name: name}
	}
	return found, nil
}

// Start starts all services in order. If one fails, Start stops those already started,
// by the deadline stopBy, and returns a *StartError.
func (r *Registrar) Start(ctx context.Context, stopBy time.Time) error {
	for _, service := range r.order {
		r.log.Debug("starting", zap.Stringer("service", service))
		if err := service.Start(ctx, r); err != nil {
			r.Stop(stopBy)
			return &StartError{Name: service.String(), Cause: err}
		}
		r.started = append(r.started, service)
	}
	return nil
}

// Stop stops the started services in reverse order. Errors are logged.
func (r *Registrar) Stop(deadline time.Time) {
	for len(r.started) > 0 {
		last := r.started[len(r.started)-1]
		r.started = r.started[:len(r.started)-1]
		if err := last.Stop(deadline); err != nil {
			r.log.Warn("service stopped with an error", zap.Stringer("service", last), zap.Error(err))
		}
	}
}
