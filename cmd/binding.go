package cmd

import (
	"context"
	"io"
	"strconv"

	"github.com/integrii/flaggy"

	"burdocklink/checker"
)

// logLevel is a setting of all commands.
var logLevel = checker.Definition{
	Name:    "log-level",
	Default: "info",
	Usage:   "minimum level of log lines: debug, info, warn or error",
}

// binding is a command attached to the parser, with the flag values parsed for
// it.
type binding struct {
	command     command
	parser      *flaggy.Parser
	subcommand  *flaggy.Subcommand
	textFlags   map[string]*string
	switchFlags map[string]*bool
	arguments   map[string]*string
	children    []*binding
}

// attach adds a child command with its flags, arguments and children.
func (b *binding) attach(child command) {
	subcommand := flaggy.NewSubcommand(child.name)
	subcommand.Description = child.usage
	attached := &binding{
		command:     child,
		parser:      b.parser,
		subcommand:  subcommand,
		textFlags:   map[string]*string{},
		switchFlags: map[string]*bool{},
		arguments:   map[string]*string{},
	}
	if child.run != nil {
		attached.addSettings()
	}
	attached.addArguments()
	for _, grandchild := range child.children {
		attached.attach(grandchild)
	}
	b.subcommand.AttachSubcommand(subcommand, 1)
	b.children = append(b.children, attached)
}

func (b *binding) addSettings() {
	b.command.settings = append(b.command.settings, logLevel)
	for _, definition := range b.command.settings {
		usage := definition.Usage + " [" + definition.Environment() + "]"
		if definition.Switch {
			on, _ := strconv.ParseBool(definition.Initial())
			b.switchFlags[definition.Name] = &on
			b.subcommand.Bool(&on, "", definition.Name, usage)
			continue
		}
		text := ""
		if !definition.Secret {
			text = definition.Initial()
		}
		b.textFlags[definition.Name] = &text
		b.subcommand.String(&text, "", definition.Name, usage)
	}
}

func (b *binding) addArguments() {
	for position, name := range b.command.arguments {
		value := ""
		b.arguments[name] = &value
		b.subcommand.AddPositionalValue(&value, name, position+1, true, name)
	}
}

// selected returns the innermost command named on the command line, or nil.
func (b *binding) selected() *binding {
	for _, child := range b.children {
		if !child.subcommand.Used {
			continue
		}
		if deeper := child.selected(); deeper != nil {
			return deeper
		}
		return child
	}
	return nil
}

// unsetSwitch returns the value of a switch that is off. A value from the
// environment that is not a boolean is returned as it is, so that it is reported
// as a fault when the settings are checked.
func unsetSwitch(definition checker.Definition) string {
	text := definition.Initial()
	if _, err := strconv.ParseBool(text); text != "" && err != nil {
		return text
	}
	return strconv.FormatBool(false)
}

// invocation returns the parsed values and outputs of the command. It fails on an
// invalid log level.
func (b *binding) invocation(ctx context.Context, out, errOut io.Writer) (*invocation, error) {
	values := map[string]string{}
	for name, text := range b.textFlags {
		values[name] = *text
	}
	for _, definition := range b.command.settings {
		if definition.Secret && values[definition.Name] == "" {
			values[definition.Name] = definition.Initial()
		}
	}
	for name, on := range b.switchFlags {
		values[name] = strconv.FormatBool(*on)
	}
	for _, definition := range b.command.settings {
		if definition.Switch && !*b.switchFlags[definition.Name] {
			values[definition.Name] = unsetSwitch(definition)
		}
	}
	arguments := map[string]string{}
	for name, value := range b.arguments {
		arguments[name] = *value
	}
	reader := checker.New(values)
	log, err := newLogger(reader, errOut)
	if err != nil {
		return nil, err
	}
	return &invocation{
		ctx:       ctx,
		out:       out,
		errOut:    errOut,
		log:       log,
		settings:  reader,
		arguments: arguments,
	}, nil
}
