package cmd

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"burdocklink/checker"
)

// newLogger returns a logger that writes one JSON object a line.
func newLogger(settings *checker.Reader, out io.Writer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(settings.Text(logLevel.Name))
	if err != nil {
		settings.Fault(logLevel.Name, "must be debug, info, warn or error")
		return nil, settings.Err()
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(out)), level)
	return zap.New(core), nil
}
