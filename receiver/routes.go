package receiver

import (
	"net/http"

	"github.com/kataras/iris/v12"

	"burdocklink/authenticator"
	"burdocklink/encoder"
	"burdocklink/reporter"
)

// Paths of the caller API that are not part of the upstream protocol.
const (
	pathServices = "/services/"
	pathHealth   = "/healthz"
	pathReady    = "/readyz"
	pathMetrics  = "/metrics"
)

func (r *Receiver) newApp() (*iris.Application, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(
		iris.WithoutStartupLog,
		iris.WithoutInterruptHandler,
		iris.WithoutPathCorrection,
		iris.WithoutAutoFireStatusCode,
	)
	app.Get(pathHealth, r.handleUnauthenticated(r.answerHealth))
	app.Get(pathReady, r.handleUnauthenticated(r.answerReady))
	app.Get(pathMetrics, r.handle(authenticator.RoleOperator, r.answerMetrics))
	app.Get(encoder.PathModels, r.handle(authenticator.RoleSubscriber, r.answerModels))
	app.Post(encoder.PathChat, r.handle(authenticator.RoleSubscriber, r.answerChat))
	app.Post(encoder.PathCompletions, r.handle(authenticator.RoleSubscriber, r.answerPrompt))
	services := r.handle(authenticator.RoleSubscriber, r.answerService)
	app.Any(pathServices+"{name:string}", services)
	app.Any(pathServices+"{name:string}/{rest:path}", services)
	// unknown paths are answered here and not by iris's error handlers, which would
	// also replace a service's answer that has an error status and no body
	app.Any("/", r.handleUnauthenticated(r.answerUnknownPath))
	app.Any("/{rest:path}", r.handleUnauthenticated(r.answerUnknownPath))
	return app, app.Build()
}

// handle serves requests that require a key with the role.
func (r *Receiver) handle(role authenticator.Role, serve func(*exchange) error) iris.Handler {
	return func(ctx iris.Context) {
		x := r.newExchange(ctx)
		defer x.finish()
		err := x.authenticate(role)
		if err == nil {
			err = serve(x)
		}
		if err != nil {
			x.refuse(err)
		}
	}
}

// handleUnauthenticated serves requests that require no key.
func (r *Receiver) handleUnauthenticated(serve func(*exchange) error) iris.Handler {
	return func(ctx iris.Context) {
		x := r.newExchange(ctx)
		if err := serve(x); err != nil {
			x.refuse(err)
		}
	}
}

func (r *Receiver) answerHealth(x *exchange) error { return x.writeText("ok\n") }

func (r *Receiver) answerReady(x *exchange) error {
	if err := r.ready(); err != nil {
		return &NotReadyError{Cause: err}
	}
	return x.writeText("ready\n")
}

func (r *Receiver) answerMetrics(x *exchange) error {
	x.w.Header().Set("Content-Type", reporter.ContentType)
	x.w.WriteHeader(http.StatusOK)
	x.headerSent = true
	if err := r.Reporter.WriteText(x.w); err != nil {
		return &callerGoneError{Cause: err}
	}
	return nil
}

func (r *Receiver) answerUnknownPath(x *exchange) error {
	switch x.r.URL.Path {
	case pathHealth, pathReady, pathMetrics, encoder.PathModels, encoder.PathChat, encoder.PathCompletions:
		return &MethodNotAllowedError{Method: x.r.Method}
	default:
		return &UnknownPathError{Path: x.r.URL.Path}
	}
}
