package cmd

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/integrii/flaggy"
	"gotest.tools/v3/assert"
)

func TestExecutePrintsVersion(t *testing.T) {
	var out, errOut bytes.Buffer

	code := execute(context.Background(), []string{"version"}, &out, &errOut)

	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.HasPrefix(out.String(), "burdocklink "))
}

func TestExecuteReportsInvalidLogLevel(t *testing.T) {
	var out, errOut bytes.Buffer

	code := execute(context.Background(), []string{"version", "--log-level", "loud"}, &out, &errOut)

	assert.Equal(t, code, exitUsage)
	assert.Assert(t, strings.Contains(errOut.String(), "--log-level \"loud\""))
}

func TestHelpDoesNotShowTheKey(t *testing.T) {
	t.Setenv("BURDOCKLINK_KEY", "bl-secret")
	root := newRoot()

	var help strings.Builder
	for _, group := range root.children {
		for _, child := range append(group.children, group) {
			for _, flag := range child.subcommand.Flags {
				help.WriteString(flag.Description)
				help.WriteString(shownDefault(flag))
			}
		}
	}

	assert.Assert(t, strings.Contains(help.String(), "BURDOCKLINK_KEY"))
	assert.Assert(t, !strings.Contains(help.String(), "bl-secret"))
}

// shownDefault returns the default of a flag as the help prints it.
func shownDefault(flag *flaggy.Flag) string {
	if text, ok := flag.AssignmentVar.(*string); ok {
		return *text
	}
	return ""
}

func TestCheckSettingsReportsEachFaultOnce(t *testing.T) {
	t.Setenv("BURDOCKLINK_CALLERS_TLS", "maybe")
	var out, errOut bytes.Buffer

	code := execute(context.Background(), []string{
		"entry", "--check-settings", "--name", "e1", "--availability-zone", "z",
		"--listen", "nowhere", "--keys", "missing.json", "--linger", "200s",
	}, &out, &errOut)

	assert.Equal(t, code, exitUsage)
	for _, name := range []string{"--callers-tls", "--listen", "--keys", "--drain-time"} {
		assert.Equal(t, strings.Count(errOut.String(), "  "+name+" "), 1, errOut.String())
	}
}
