package cmd

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExecutePrintsItsVersion(t *testing.T) {
	var out, errOut bytes.Buffer

	code := execute(context.Background(), []string{"version"}, &out, &errOut)

	assert.Equal(t, code, exitDone)
	assert.Assert(t, strings.HasPrefix(out.String(), "burdocklink "))
}

func TestExecuteNamesAWrongLogLevel(t *testing.T) {
	var out, errOut bytes.Buffer

	code := execute(context.Background(), []string{"version", "--log-level", "loud"}, &out, &errOut)

	assert.Equal(t, code, exitUsage)
	assert.Assert(t, strings.Contains(errOut.String(), "--log-level \"loud\""))
}
