package cmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestStandInPrintsItsAddressAndStops(t *testing.T) {
	weights := filepath.Join(t.TempDir(), "weights.json")
	list := `[{"name":"torta","kind":"model","version":"1","memory-bytes":40}]`
	assert.NilError(t, os.WriteFile(weights, []byte(list), 0o600))
	tests := map[string][]string{
		"engine":   {"--weights", weights, "--holds", "torta", "--report-lag", "5ms"},
		"service":  {"--delay", "1ms"},
		"platform": {},
		"store":    {"--weights", weights},
	}
	for name, flags := range tests {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			ctx, cancel := context.WithCancel(context.Background())
			cancel()

			code := execute(ctx, append([]string{"stand-in", name}, flags...), &out, &errOut)

			assert.Equal(t, code, exitOK, errOut.String())
			assert.Assert(t, strings.HasPrefix(out.String(), "listening 127.0.0.1:"))
		})
	}
}

func TestStandInReportsEachInvalidSetting(t *testing.T) {
	var out, errOut bytes.Buffer
	flags := []string{"--holds", "torta", "--slots", "0", "--report-lag", "soon", "--listen", "here"}

	code := execute(context.Background(), append([]string{"stand-in", "engine"}, flags...), &out, &errOut)

	assert.Equal(t, code, exitUsage)
	for _, flag := range []string{"--holds", "--slots", "--report-lag", "--listen"} {
		assert.Assert(t, strings.Contains(errOut.String(), flag), flag)
	}
}
