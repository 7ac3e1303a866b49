package receiver

import (
	"context"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"burdocklink/authenticator"
	"burdocklink/budgeter"
	"burdocklink/cataloger"
	"burdocklink/classifier"
	"burdocklink/encoder"
	"burdocklink/reporter"
)

// exchange is the state of one caller's request and its answer.
type exchange struct {
	*Receiver
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	// ctx ends when the caller disconnects or at the request's deadline.
	ctx        context.Context
	cancel     context.CancelFunc
	id         string
	identity   authenticator.Identity
	class      classifier.Class
	catalog    *cataloger.Catalog
	arrived    time.Time
	deadline   time.Time
	firstToken time.Time
	tokens     int
	// mayHaveRun is set once an upstream may have started to run the request.
	mayHaveRun bool
	// headerSent is set once the header of the answer is being written.
	headerSent bool
	result     reporter.Result
	// memory is that of the body; nil if none was read.
	memory *budgeter.Body
}

// requestIDPattern matches the request IDs that callers may choose.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

const bearerPrefix = "Bearer "

func (r *Receiver) newExchange(ctx iris.Context) *exchange {
	x := &exchange{
		Receiver: r,
		w:        ctx.ResponseWriter(),
		r:        ctx.Request(),
		control:  http.NewResponseController(ctx.ResponseWriter().Naive()),
		arrived:  time.Now(),
		cancel:   func() {},
	}
	x.ctx = x.r.Context()
	x.id = x.r.Header.Get(encoder.HeaderRequestID)
	if !requestIDPattern.MatchString(x.id) {
		x.id = uuid.NewString()
	}
	return x
}

// authenticate sets the identity by the request's key and checks its role.
func (x *exchange) authenticate(role authenticator.Role) error {
	key, _ := strings.CutPrefix(x.r.Header.Get("Authorization"), bearerPrefix)
	identity, err := x.Authenticator.Authenticate(key)
	if err != nil {
		return err
	}
	if identity.Role != role {
		return &WrongRoleError{Required: role}
	}
	x.identity = identity
	return nil
}

// prepare sets the catalog, class and deadline of a request for an upstream. A
// request that names no class gets that of its kind.
func (x *exchange) prepare(kind requestKind) error {
	x.catalog = x.Catalog()
	if x.catalog == nil {
		return &NotReadyError{Cause: &NoCatalogError{}}
	}
	class, err := x.findClass(kind)
	if err != nil {
		return err
	}
	x.class = class
	if x.deadline, err = x.findDeadline(); err != nil {
		return err
	}
	x.ctx, x.cancel = context.WithDeadlineCause(x.r.Context(), x.deadline, &DeadlinePassedError{})
	return nil
}

func (x *exchange) findDeadline() (time.Time, error) {
	latest := x.arrived.Add(x.Settings.RequestTimeout)
	requested, err := x.headerTime(encoder.HeaderDeadline)
	if err != nil || requested.IsZero() {
		return latest, err
	}
	if !requested.After(x.arrived) {
		return time.Time{}, &DeadlinePassedError{}
	}
	if requested.Before(latest) {
		latest = requested
	}
	return latest, nil
}

func (x *exchange) headerTime(name string) (time.Time, error) {
	text := x.r.Header.Get(name)
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, &MalformedHeaderError{Name: name, Expected: "a time as in RFC 3339"}
	}
	return at, nil
}

// readBody reads the whole body, within MaxBodyBytes, BodyTimeout and the memory of the
// process.
func (x *exchange) readBody() ([]byte, error) {
	if x.r.ContentLength > x.Settings.MaxBodyBytes {
		return nil, &BodyTooLargeError{Limit: x.Settings.MaxBodyBytes}
	}
	_ = x.control.SetReadDeadline(x.arrived.Add(x.Settings.BodyTimeout))
	x.memory = x.bodies.Open(time.Now(), func() { _ = x.control.SetReadDeadline(time.Unix(1, 0)) })
	body, err := x.memory.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.Settings.MaxBodyBytes), x.r.ContentLength)
	if err != nil {
		return nil, bodyError(err, x.Settings.MaxBodyBytes)
	}
	_ = x.control.SetReadDeadline(time.Time{})
	return body, nil
}

// finish releases the context and records the request in metrics and the log.
func (x *exchange) finish() {
	x.cancel()
	if x.memory != nil {
		x.memory.Release()
	}
	_ = x.control.SetWriteDeadline(time.Time{})
	if x.class.Name == "" {
		return
	}
	if x.result == 0 {
		x.result = reporter.ResultWhole
	}
	sample := reporter.Sample{
		Class:      x.class,
		Subscriber: x.identity.Name,
		Arrived:    x.arrived,
		FirstToken: x.firstToken,
		Ended:      time.Now(),
		Tokens:     x.tokens,
		Result:     x.result,
	}
	x.Reporter.Record(sample)
	x.Log.Info("request",
		zap.String("request-id", x.id),
		zap.String("subscriber", x.identity.Name),
		zap.String("class", x.class.Name),
		zap.String("path", x.r.URL.Path),
		zap.Stringer("result", x.result),
		zap.Duration("took", sample.Ended.Sub(x.arrived)),
	)
}

// newAttemptID returns a request ID for one call to an upstream. Each is unique, so
// that no caller can reach another caller's stream by choosing the same request ID.
func (x *exchange) newAttemptID() string { return x.id + "-" + uuid.NewString() }
