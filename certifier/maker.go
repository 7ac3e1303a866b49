package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// SystemName is the DNS name in all certificates of the system.
const SystemName = "burdocklink.system"

// Validity periods and serial number size of a development set.
const (
	authorityYears   = 10
	certificateYears = 1
	serialBits       = 120
)

// File modes of a set.
const (
	folderMode = 0o700
	keyMode    = 0o600
	publicMode = 0o644
)

// File names of a set.
const (
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority-key.pem"
)

// WriteCertificates writes a certificate authority and a certificate and key for each name into
// a folder: authority.pem, authority-key.pem, NAME.pem and NAME-key.pem. An existing
// authority is reused. Addresses are the IP addresses at which callers reach the
// processes. The error is a *FileError.
func WriteCertificates(folder string, names []string, addresses []net.IP, now time.Time) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return &FileError{Path: folder, Cause: err}
	}
	signer, err := loadOrCreateAuthority(folder, now)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := signer.issue(folder, name, addresses, now); err != nil {
			return err
		}
	}
	return nil
}

// certificateAuthority signs certificates.
type certificateAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func loadOrCreateAuthority(folder string, now time.Time) (*certificateAuthority, error) {
	path := filepath.Join(folder, authorityFile)
	if _, err := os.Stat(path); err == nil {
		return readAuthority(folder)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	template, err := newTemplate("burdocklink authority", now, authorityYears)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	data, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	if err := writePair(folder, authorityFile, authorityKeyFile, data, key); err != nil {
		return nil, err
	}
	return readAuthority(folder)
}

func readAuthority(folder string) (*certificateAuthority, error) {
	path := filepath.Join(folder, authorityFile)
	block, err := readBlock(path)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(block)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	keyPath := filepath.Join(folder, authorityKeyFile)
	block, err = readBlock(keyPath)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParseECPrivateKey(block)
	if err != nil {
		return nil, &FileError{Path: keyPath, Cause: err}
	}
	return &certificateAuthority{certificate: certificate, key: key}, nil
}

// issue writes a certificate for servers and clients, and its key.
func (a *certificateAuthority) issue(folder, name string, addresses []net.IP, now time.Time) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return &FileError{Path: name, Cause: err}
	}
	template, err := newTemplate(name, now, certificateYears)
	if err != nil {
		return err
	}
	template.DNSNames = []string{SystemName, name}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	data, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return &FileError{Path: name, Cause: err}
	}
	return writePair(folder, name+".pem", name+"-key.pem", data, key)
}

func newTemplate(name string, now time.Time, years int) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, &FileError{Path: name, Cause: err}
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.AddDate(years, 0, 0),
		BasicConstraintsValid: true,
	}, nil
}

func writePair(folder, certificateName, keyName string, certificate []byte, key *ecdsa.PrivateKey) error {
	data, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return &FileError{Path: keyName, Cause: err}
	}
	if err := writeBlock(filepath.Join(folder, keyName), "EC PRIVATE KEY", data, keyMode); err != nil {
		return err
	}
	return writeBlock(filepath.Join(folder, certificateName), "CERTIFICATE", certificate, publicMode)
}

func writeBlock(path, kind string, data []byte, mode os.FileMode) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	if err := os.WriteFile(path, text, mode); err != nil {
		return &FileError{Path: path, Cause: err}
	}
	return nil
}

func readBlock(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, &FileError{Path: path, Cause: &NoCertificateError{}}
	}
	return block.Bytes, nil
}
