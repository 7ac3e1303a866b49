// Package demonstrator runs the whole system in one process over loopback:
// stand-ins of the outside systems, control members and entries. Its steps
// are run in order, and what they started is stopped in reverse.
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

// Times of the demonstration.
const (
	// startTimeout is the longest wait for the system to be ready.
	startTimeout = 60 * time.Second
	// stopTimeout is the longest wait for one part to stop.
	stopTimeout = 5 * time.Second
)

// Context is what the steps share.
type Context struct {
	context.Context
	Out io.Writer
	Log *zap.Logger
	// Folder holds the data folders and the keys file.
	Folder string

	Engines  []*faker.Engine
	Service  *faker.Service
	Platform *faker.Platform
	Store    *faker.Store
	Members  []*assembler.ControlMember
	Entries  []*assembler.Entry
	// Control lists the control members' addresses.
	Control []string

	OperatorKey   string
	SubscriberKey string
	Operator      *administrator.Administrator

	// stoppers are run in reverse order.
	stoppers []stopper
}

// stopper is a part that was started.
type stopper interface {
	Stop(deadline time.Time) error
}

// step is one part of the demonstration.
type step interface {
	// String says what the step does.
	String() string
	Run(ctx *Context) error
}

// StepError says which step failed.
type StepError struct {
	Step  string
	Cause error
}

// Error names the step.
func (e *StepError) Error() string { return e.Step + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Cause }

// startSteps lists the steps that bring the system up.
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

// requestSteps lists the steps that send a request of every kind.
func requestSteps() []step {
	return []step{
		listModels{},
		streamChat{},
		completeAdapter{},
		bookOnce{},
		showStatus{},
	}
}

// Run brings the system up and sends requests of every kind. With once it
// stops then; without, it serves until the context ends.
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
		c.Log.Info("step", zap.Stringer("step", each))
		if err := each.Run(c); err != nil {
			return &StepError{Step: each.String(), Cause: err}
		}
	}
	return nil
}

// serve waits for the end of the context.
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

// cleanUp stops all parts in reverse order and removes the folder.
func (c *Context) cleanUp() {
	for at := len(c.stoppers) - 1; at >= 0; at-- {
		if err := c.stoppers[at].Stop(time.Now().Add(stopTimeout)); err != nil {
			c.Log.Warn("stop", zap.Error(err))
		}
	}
	if err := os.RemoveAll(c.Folder); err != nil {
		c.Log.Warn("remove folder", zap.Error(err))
	}
}

// stopLater notes a part that must be stopped.
func (c *Context) stopLater(part stopper) { c.stoppers = append(c.stoppers, part) }

// startServices starts services as one process would.
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

// Stop stops all services of the kernel.
func (k kernelStopper) Stop(deadline time.Time) error {
	k.kernel.Stop(deadline)
	return nil
}

func (c *Context) print(line string) error {
	_, err := io.WriteString(c.Out, line+"\n")
	return err
}
