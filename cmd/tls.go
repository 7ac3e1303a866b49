package cmd

import (
	"google.golang.org/grpc/credentials"

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
		Usage: "file of the authority that signs the system's certificates, in PEM",
	}
)

func tlsSettings() []checker.Definition {
	return []checker.Definition{certificateFile, certificateKeyFile, authorityFile}
}

// clientCredentials returns nil for plain text where no certificate is given.
func clientCredentials(call *invocation) (credentials.TransportCredentials, error) {
	return nil, nil
}
