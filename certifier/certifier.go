// Package certifier holds the TLS material of a process: its certificate and key and
// the certificate authority of the system. The files are reloaded when they change.
package certifier

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/credentials"

	"burdocklink/registrar"
)

// Name is the service name in the registrar.
const Name = "certifier"

// pollInterval is the time between two checks of the files.
const pollInterval = 2 * time.Second

// Files are the paths of PEM files.
type Files struct {
	// Certificate and Key are both empty for a client without a certificate.
	Certificate string
	Key         string
	Authority   string
}

// material is the content of the files at one point in time.
type material struct {
	contents    [][]byte
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Certifier returns TLS configurations that use the current content of the files.
type Certifier struct {
	files   Files
	log     *zap.Logger
	current atomic.Pointer[material]
	stop    chan struct{}
	stopped chan struct{}
}

// New reads the files and returns a certifier. The error is a *FileError.
func New(files Files, log *zap.Logger) (*Certifier, error) {
	loaded, err := load(files)
	if err != nil {
		return nil, err
	}
	c := &Certifier{files: files, log: log, stop: make(chan struct{}), stopped: make(chan struct{})}
	c.current.Store(loaded)
	return c, nil
}

// String returns the name of the service.
func (c *Certifier) String() string { return Name }

// Start starts watching the files.
func (c *Certifier) Start(context.Context, *registrar.Registrar) error {
	go c.loop()
	return nil
}

// Stop stops watching the files.
func (c *Certifier) Stop(deadline time.Time) error {
	close(c.stop)
	select {
	case <-c.stopped:
	case <-time.After(time.Until(deadline)):
	}
	return nil
}

func (c *Certifier) loop() {
	defer close(c.stopped)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			if err := c.Reload(); err != nil {
				c.log.Warn("certificates not reloaded; keeping the current ones", zap.Error(err))
			}
		}
	}
}

// Reload reads the files again. If one is unusable, the current material stays in
// force and a *FileError is returned.
func (c *Certifier) Reload() error {
	loaded, err := load(c.files)
	if err != nil {
		return err
	}
	if loaded.equal(c.current.Load()) {
		return nil
	}
	c.current.Store(loaded)
	c.log.Info("certificates reloaded")
	return nil
}

// Server returns the credentials of a gRPC server. A client certificate is optional
// and verified if given; the services decide which calls require one.
func (c *Certifier) Server() credentials.TransportCredentials {
	return credentials.NewTLS(c.serverConfig(tls.VerifyClientCertIfGiven))
}

// MutualServer returns the credentials of a gRPC server that requires client
// certificates.
func (c *Certifier) MutualServer() credentials.TransportCredentials {
	return credentials.NewTLS(c.serverConfig(tls.RequireAndVerifyClientCert))
}

// Client returns the credentials of a gRPC client.
func (c *Certifier) Client() credentials.TransportCredentials {
	return credentials.NewTLS(c.clientConfig())
}

// CallerConfig returns the TLS configuration of the HTTP server for callers, who
// authenticate with keys instead of certificates.
func (c *Certifier) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: c.serverCertificate,
	}
}

func (c *Certifier) serverConfig(clientAuth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return &tls.Config{
				MinVersion:     tls.VersionTLS13,
				NextProtos:     []string{"h2"},
				GetCertificate: c.serverCertificate,
				ClientAuth:     clientAuth,
				ClientCAs:      c.current.Load().authority,
			}, nil
		},
	}
}

// clientConfig returns a configuration that verifies the server's chain in
// VerifyConnection, so that the authority in force at the time of the connection is
// used. Certificates carry the system's name instead of the server's address.
func (c *Certifier) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ServerName:           SystemName,
		InsecureSkipVerify:   true,
		VerifyConnection:     c.verifyServer,
		GetClientCertificate: c.clientCertificate,
	}
}

func (c *Certifier) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return &NoCertificateError{}
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       SystemName,
		Roots:         c.current.Load().authority,
		Intermediates: intermediates,
	})
	return err
}

func (c *Certifier) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	certificate := c.current.Load().certificate
	if certificate == nil {
		return nil, &NoCertificateError{}
	}
	return certificate, nil
}

func (c *Certifier) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	certificate := c.current.Load().certificate
	if certificate == nil {
		return &tls.Certificate{}, nil
	}
	return certificate, nil
}

// equal reports whether the contents of the files are the same.
func (m *material) equal(other *material) bool {
	for i, content := range m.contents {
		if !bytes.Equal(content, other.contents[i]) {
			return false
		}
	}
	return true
}

func load(files Files) (*material, error) {
	loaded := &material{authority: x509.NewCertPool()}
	for _, path := range []string{files.Certificate, files.Key, files.Authority} {
		content, err := readFile(path)
		if err != nil {
			return nil, err
		}
		loaded.contents = append(loaded.contents, content)
	}
	if !loaded.authority.AppendCertsFromPEM(loaded.contents[2]) {
		return nil, &FileError{Path: files.Authority, Cause: &NoCertificateError{}}
	}
	if files.Certificate == "" && files.Key == "" {
		return loaded, nil
	}
	pair, err := tls.X509KeyPair(loaded.contents[0], loaded.contents[1])
	if err != nil {
		return nil, &FileError{Path: files.Certificate, Cause: err}
	}
	loaded.certificate = &pair
	return loaded, nil
}

func readFile(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	return content, nil
}

// FileError reports that a file is unusable.
type FileError struct {
	Path  string
	Cause error
}

// Error names the file and the cause.
func (e *FileError) Error() string { return e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NoCertificateError reports that a required certificate is missing.
type NoCertificateError struct{}

// Error describes the failure.
func (e *NoCertificateError) Error() string { return "no certificate" }
