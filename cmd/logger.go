package cmd

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"burdocklink/checker"
	"burdocklink/launcher"
)

// newLogger returns a logger that writes one JSON object per line.
func newLogger(settings *checker.Reader, out io.Writer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(settings.Text(logLevel.Name))
	if err != nil {
		settings.AddFault(logLevel.Name, "must be debug, info, warn or error")
		return nil, settings.Err()
	}
	return launcher.NewLogger(level, zapcore.Lock(zapcore.AddSync(out))), nil
}
