// Package demonstrator runs the whole system in one process over loopback:
// stand-ins for the outside systems, control members and entries. It runs steps
// in order and stops the parts that they started in reverse order.
package demonstrator

import (
	"context"
	"io"
	"os"
	"time"

	"go.uber.org/zap"

	"burdocklink/administrator"
	"burdocklink/assembler"
	"burdocklink/faker"
	"burdocklink/registrar"
)

const (
	// startTimeout bounds the wait for readiness, and for each operator command.
	startTimeout = 60 * time.Second
	// stopTimeout bounds the start of the services and the stop of each part.
	stopTimeout = 5 * time.Second
)

// Context is the state shared by the steps.
type Context struct {
	context.Context
	Out io.Writer
	Log *zap.Logger
	// Folder contains the data folders, the certificates and the keys file.
	Folder string

	Engines  []*faker.Engine
	Service  *faker.Service
	Platform *faker.Platform
	Store    *faker.Store
	Members  []*assembler.ControlMember
	Entries  []*assembler.Entry
	// Control contains the IP and port of each control member.
	Control []string

	OperatorKey   string
	SubscriberKey string
	Operator      *administrator.Administrator

	// stoppers are stopped in reverse order.
	stoppers []stopper
}

// stopper is a started part of the system.
type stopper interface {
	Stop(deadline time.Time) error
}

// step is one part of the demonstration.
type step interface {
	// String returns what the step does.
	String() string
	Run(ctx *Context) error
}

// StepError reports the step that failed and why.
type StepError struct {
	Step  string
	Cause error
}

// Error implements error.
func (e *StepError) Error() string { return e.Step + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Cause }

// startSteps returns the steps that start the system.
func startSteps() []step {
	return []step{
		makeKeys{},
		makeCertificates{},
		startStore{},
		startUpstreams{},
		startPlatform{},
		startControl{},
		startEntries{},
		setClasses{},
		awaitReady{},
	}
}

// requestSteps returns the steps that send one request of each kind.
func requestSteps() []step {
	return []step{
		listModels{},
		streamChat{},
		completeAdapter{},
		bookOnce{},
		showStatus{},
	}
}

// Run starts the system and sends one request of each kind. Then it stops if
// once is set, and otherwise serves until the context ends. It returns a
// StepError for a step that failed.
func Run(ctx context.Context, out io.Writer, log *zap.Logger, once bool) error {
	folder, err := os.MkdirTemp("", "burdocklink-demo-")
	if err != nil {
		return &StepError{Step: "make a folder", Cause: err}
	}
	demonstration := &Context{Context: ctx, Out: out, Log: log, Folder: folder}
	defer demonstration.cleanUp()
	if err := demonstration.run(startSteps()); err != nil {
		return err
	}
	if err := demonstration.run(requestSteps()); err != nil {
		return err
	}
	if once {
		return nil
	}
	return demonstration.serve()
}

func (c *Context) run(steps []step) error {
	for _, each := range steps {
		c.Log.Info("running step", zap.Stringer("step", each))
		if err := each.Run(c); err != nil {
			return &StepError{Step: each.String(), Cause: err}
		}
	}
	return nil
}

// serve prints how to reach the system and waits for the end of the context.
func (c *Context) serve() error {
	if err := c.print("serving; stop with an interrupt"); err != nil {
		return err
	}
	for _, entry := range c.Entries {
		if err := c.print("entry http://" + entry.Receiver.Address() + " subscriber key " + c.SubscriberKey); err != nil {
			return err
		}
	}
	for _, address := range c.Control {
		if err := c.print("control " + address + " operator key " + c.OperatorKey); err != nil {
			return err
		}
	}
	<-c.Done()
	return nil
}

// cleanUp stops all parts in reverse order of their start and removes the folder.
func (c *Context) cleanUp() {
	for at := len(c.stoppers) - 1; at >= 0; at-- {
		if err := c.stoppers[at].Stop(time.Now().Add(stopTimeout)); err != nil {
			c.Log.Warn("stopping a part failed", zap.Error(err))
		}
	}
	if err := os.RemoveAll(c.Folder); err != nil {
		c.Log.Warn("removing the demo folder failed", zap.Error(err))
	}
}

// stopLater registers a part to be stopped by cleanUp.
func (c *Context) stopLater(part stopper) { c.stoppers = append(c.stoppers, part) }

// startServices starts services in a kernel of their own, as a process does.
func (c *Context) startServices(services []registrar.Service) error {
	kernel := registrar.New(c.Log)
	for _, service := range services {
		if err := kernel.Add(service); err != nil {
			return err
		}
	}
	if err := kernel.Start(c, time.Now().Add(stopTimeout)); err != nil {
		return err
	}
	c.stopLater(kernelStopper{kernel})
	return nil
}

type kernelStopper struct{ kernel *registrar.Registrar }

// Stop implements stopper.
func (k kernelStopper) Stop(deadline time.Time) error {
	k.kernel.Stop(deadline)
	return nil
}

func (c *Context) print(line string) error {
	_, err := io.WriteString(c.Out, line+"\n")
	return err
}
