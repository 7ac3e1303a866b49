package cmd

import (
	"burdocklink/certifier"
	"burdocklink/checker"
)

// Settings of mutual TLS.
var (
	certificateFile = checker.Definition{
		Name:  "certificate",
		Usage: "file of this process's certificate, in PEM",
	}
	certificateKeyFile = checker.Definition{
		Name:  "certificate-key",
		Usage: "file of the certificate's private key, in PEM",
	}
	authorityFile = checker.Definition{
		Name:  "certificate-authority",
		Usage: "file of the authority that signs the system's certificates, in PEM; without one connections are not encrypted",
	}
)

func tlsSettings() []checker.Definition {
	return []checker.Definition{certificateFile, certificateKeyFile, authorityFile}
}

// readCertificates opens the TLS files of a daemon, or returns nil if none are
// given. Faults are reported by settings.Err.
func readCertificates(call *invocation) *certifier.Certifier {
	opened := readAuthority(call)
	if opened != nil && call.settings.Text(certificateFile.Name) == "" {
		call.settings.AddFault(certificateFile.Name, "must be given beside --"+authorityFile.Name)
	}
	return opened
}

// readAuthority opens the TLS files of a client, whose certificate is optional.
// Faults are reported by settings.Err.
func readAuthority(call *invocation) *certifier.Certifier {
	files := certifier.Files{
		Certificate: call.settings.File(certificateFile.Name),
		Key:         call.settings.File(certificateKeyFile.Name),
		Authority:   call.settings.File(authorityFile.Name),
	}
	if files == (certifier.Files{}) {
		return nil
	}
	if files.Authority == "" {
		call.settings.AddFault(authorityFile.Name, "must be given beside --"+certificateFile.Name)
		return nil
	}
	if call.settings.Err() != nil {
		return nil
	}
	opened, err := certifier.New(files, call.log)
	if err != nil {
		call.settings.AddFault(authorityFile.Name, err.Error())
		return nil
	}
	return opened
}
