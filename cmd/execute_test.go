package cmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
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

// Guards against a check that passes what the system refuses, or that doesn't tell where a
// fault is.
func TestCheckTellsWhatTheSystemWouldRefuse(t *testing.T) {
	const sound = `{"version":3,"routes":[
{"name":"book","host":"a.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":800,"targetLatencyMs":300,"service":"calendar","maxAttempts":1}],
"services":[{"name":"calendar"}]}`
	cases := map[string]struct {
		content, inForce string
		arguments        []string
		code             int
		want             string
	}{
		"sound":        {content: sound, code: exitOK},
		"fault":        {content: strings.Replace(sound, `"service":"calendar"`, `"service":"nobody"`, 1), code: exitRefused, want: "route book"},
		"not JSON":     {content: strings.Replace(sound, `"services":[`, `"services":`, 1), code: exitRefused, want: "line 3"},
		"warning":      {content: strings.Replace(sound, `"/book/"`, `"/book"`, 1), code: exitOK, want: "never matches"},
		"JSON":         {content: strings.Replace(sound, `"/book/"`, `"/book"`, 1), arguments: []string{"--output", "json"}, code: exitOK, want: `"severity": "warning"`},
		"differences":  {content: strings.Replace(sound, `"version":3`, `"version":4`, 1), inForce: strings.Replace(sound, "800", "900", 1), code: exitOK, want: "changed"},
		"not in force": {content: sound, inForce: "{", code: exitRefused, want: "in-force.json"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			path, inForce := filepath.Join(folder, "new.json"), filepath.Join(folder, "in-force.json")
			assert.NilError(t, os.WriteFile(path, []byte(c.content), 0o600))
			arguments := append([]string{"check", "--configuration", path}, c.arguments...)
			if c.inForce != "" {
				assert.NilError(t, os.WriteFile(inForce, []byte(c.inForce), 0o600))
				arguments = append(arguments, "--in-force", inForce)
			}
			var out, errOut bytes.Buffer
			assert.Equal(t, execute(context.Background(), arguments, &out, &errOut), c.code, out.String()+errOut.String())
			assert.Assert(t, strings.Contains(out.String()+errOut.String(), c.want), out.String()+errOut.String())
		})
	}
}
