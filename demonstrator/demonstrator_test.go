package demonstrator_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/demonstrator"
)

func TestRunServesEveryKindOfRequest(t *testing.T) {
	var out bytes.Buffer

	assert.NilError(t, demonstrator.Run(context.Background(), &out, zap.NewNop(), true))

	for _, part := range []string{"models: ", "chat, streamed", "adapter, whole", "ran once", "status: leader"} {
		assert.Assert(t, strings.Contains(out.String(), part), "%q is missing in:\n%s", part, out.String())
	}
}
