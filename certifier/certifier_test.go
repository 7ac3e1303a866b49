package certifier_test

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/credentials"
	"gotest.tools/v3/assert"

	"burdocklink/certifier"
)

func writeCertificates(t *testing.T, names ...string) string {
	t.Helper()
	folder := t.TempDir()
	assert.NilError(t, certifier.WriteCertificates(folder, names, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now()))
	return folder
}

func open(t *testing.T, folder, name string) *certifier.Certifier {
	t.Helper()
	opened, err := certifier.New(filesOf(folder, name), zap.NewNop())
	assert.NilError(t, err)
	return opened
}

func filesOf(folder, name string) certifier.Files {
	files := certifier.Files{Authority: filepath.Join(folder, "authority.pem")}
	if name != "" {
		files.Certificate = filepath.Join(folder, name+".pem")
		files.Key = filepath.Join(folder, name+"-key.pem")
	}
	return files
}

// handshake makes a TLS connection between the sides and returns the number of
// client certificate chains that the server verified.
func handshake(t *testing.T, server credentials.TransportCredentials, client *certifier.Certifier) (int, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	side := &serverSide{listener: listener, server: server, done: make(chan struct{})}
	go side.run()
	raw, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = raw.Close() }()
	connection, _, err := client.Client().ClientHandshake(t.Context(), certifier.SystemName, raw)
	if err == nil {
		// with TLS 1.3 the client sees a rejection by the server on its first read
		_, err = connection.Read(make([]byte, 1))
	}
	if err != nil {
		_ = raw.Close()
	}
	<-side.done
	return side.chains, err
}

type serverSide struct {
	listener net.Listener
	server   credentials.TransportCredentials
	chains   int
	done     chan struct{}
}

func (s *serverSide) run() {
	defer close(s.done)
	raw, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = raw.Close() }()
	connection, info, err := s.server.ServerHandshake(raw)
	if err != nil {
		return
	}
	if secured, ok := info.(credentials.TLSInfo); ok {
		s.chains = len(secured.State.VerifiedChains)
	}
	_, _ = connection.Write([]byte{1})
}

func TestProcessesOfOneAuthorityTrustEachOther(t *testing.T) {
	folder := writeCertificates(t, "control", "entry")

	chains, err := handshake(t, open(t, folder, "control").Server(), open(t, folder, "entry"))

	assert.NilError(t, err)
	assert.Equal(t, chains, 1)
}

func TestAnOperatorNeedsNoCertificate(t *testing.T) {
	folder := writeCertificates(t, "control")

	chains, err := handshake(t, open(t, folder, "control").Server(), open(t, folder, ""))

	assert.NilError(t, err)
	assert.Equal(t, chains, 0)
}

func TestMutualServerRequiresAClientCertificate(t *testing.T) {
	folder := writeCertificates(t, "entry")

	_, err := handshake(t, open(t, folder, "entry").MutualServer(), open(t, folder, ""))

	assert.Assert(t, err != nil)
}

func TestOtherAuthoritiesAreRejected(t *testing.T) {
	ours, theirs := writeCertificates(t, "control", "entry"), writeCertificates(t, "control", "entry")
	cases := map[string]struct{ server, client *certifier.Certifier }{
		"another authority's server": {server: open(t, theirs, "control"), client: open(t, ours, "entry")},
		"another authority's client": {server: open(t, ours, "control"), client: open(t, theirs, "entry")},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := handshake(t, test.server.Server(), test.client)
			assert.Assert(t, err != nil)
		})
	}
}

func TestReloadAppliesChangedFiles(t *testing.T) {
	folder, other := writeCertificates(t, "control"), writeCertificates(t, "control")
	server, client := open(t, folder, "control"), open(t, folder, "")
	for _, name := range []string{"authority.pem", "control.pem", "control-key.pem"} {
		content, err := os.ReadFile(filepath.Join(other, name))
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name), content, 0o600))
	}

	assert.NilError(t, server.Reload())
	_, err := handshake(t, server.Server(), client)
	assert.Assert(t, err != nil, "the client still trusts the old authority")
	assert.NilError(t, client.Reload())
	_, err = handshake(t, server.Server(), client)
	assert.NilError(t, err)
}

func TestNewReportsUnusableFiles(t *testing.T) {
	folder := writeCertificates(t, "control")
	broken := filepath.Join(folder, "broken.pem")
	assert.NilError(t, os.WriteFile(broken, []byte("no certificate"), 0o600))
	cases := map[string]certifier.Files{
		"missing certificate": filesOf(folder, "absent"),
		"broken authority":    {Authority: broken},
		"no authority":        {},
	}
	for name, files := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := certifier.New(files, zap.NewNop())
			assert.ErrorType(t, err, &certifier.FileError{})
		})
	}
}

func TestFailedReloadKeepsTheCertificate(t *testing.T) {
	folder := writeCertificates(t, "control")
	server, client := open(t, folder, "control"), open(t, folder, "")
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "control.pem"), []byte("half a fi"), 0o600))

	assert.ErrorType(t, server.Reload(), &certifier.FileError{})
	_, err := handshake(t, server.Server(), client)
	assert.NilError(t, err)
}
