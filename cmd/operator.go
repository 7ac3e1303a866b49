package cmd

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/credentials"

	"burdocklink/administrator"
	"burdocklink/checker"
	"burdocklink/encoder"
	"burdocklink/linker"
)

// Settings of all operator commands.
var (
	controlAddresses = checker.Definition{
		Name:    "control",
		Default: "127.0.0.1:7400",
		Usage:   "addresses of the control members, separated by commas",
	}
	operatorKey = checker.Definition{
		Name:   "key",
		Usage:  "the operator's key; prefer the environment variable, which other users can't see",
		Secret: true,
	}
	outputFormat = checker.Definition{
		Name:    "output",
		Default: outputTable,
		Usage:   "output format: table or json",
	}
	waitTime = checker.Definition{
		Name:    "wait",
		Default: "10s",
		Usage:   "longest wait for an answer",
	}
	requestID = checker.Definition{
		Name:  "request",
		Usage: "identifier of the change; repeat it to resend the same change",
	}
	baseRevision = checker.Definition{
		Name:  "based",
		Usage: "revision that the change is based on; defaults to the current one",
	}
)

// Values of the output setting.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// operatorSettings returns the given settings and those of all operator commands.
func operatorSettings(more ...checker.Definition) []checker.Definition {
	return append(more, append(tlsSettings(), controlAddresses, operatorKey, outputFormat, waitTime)...)
}

// operatorCall is the invocation of an operator command.
type operatorCall struct {
	*invocation
	client *administrator.Administrator
	output string
	wait   time.Duration
}

// newOperatorCall reads the settings of all operator commands and creates the
// client. It returns the error of settings.Err on a fault.
func newOperatorCall(call *invocation) (*operatorCall, error) {
	control := call.settings.Addresses(controlAddresses.Name)
	wait := call.settings.Duration(waitTime.Name)
	output := call.settings.Text(outputFormat.Name)
	if output != outputTable && output != outputJSON {
		call.settings.AddFault(outputFormat.Name, "must be table or json")
	}
	certificates := readAuthority(call)
	if err := call.settings.Err(); err != nil {
		return nil, err
	}
	var transport credentials.TransportCredentials
	if certificates != nil {
		transport = certificates.Client()
	}
	client := administrator.New(administrator.Settings{
		Control: control,
		Links:   linker.New(transport, linker.NewMeter(metrics.NewRegistry())),
		Key:     call.settings.Text(operatorKey.Name),
	})
	return &operatorCall{invocation: call, client: client, output: output, wait: wait}, nil
}

// context returns a context with the command's timeout.
func (c *operatorCall) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.ctx, c.wait)
}

// newStatusCall is newOperatorCall and a request for the status.
func newStatusCall(call *invocation) (*operatorCall, encoder.StatusPage, error) {
	operator, err := newOperatorCall(call)
	if err != nil {
		return nil, encoder.StatusPage{}, err
	}
	ctx, cancel := operator.context()
	defer cancel()
	reply, err := operator.client.Status(ctx)
	if err != nil {
		return nil, encoder.StatusPage{}, err
	}
	return operator, encoder.DecodeStatus(reply), nil
}

// print writes the page as JSON, or the table that fill writes.
func (c *operatorCall) print(page any, fill func(table *tabwriter.Writer) error) error {
	if c.output == outputJSON {
		data, err := encoder.Indent(page)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(c.out, string(data))
		return err
	}
	const padding = 2
	table := tabwriter.NewWriter(c.out, 0, 0, padding, ' ', 0)
	if err := fill(table); err != nil {
		return err
	}
	return table.Flush()
}
