package assembler

import (
	"crypto/tls"

	"google.golang.org/grpc/credentials"

	"burdocklink/certifier"
	"burdocklink/registrar"
)

// clientCredentials returns nil for plain text.
func clientCredentials(certificates *certifier.Certifier) credentials.TransportCredentials {
	if certificates == nil {
		return nil
	}
	return certificates.Client()
}

// serverCredentials returns nil for plain text.
func serverCredentials(certificates *certifier.Certifier) credentials.TransportCredentials {
	if certificates == nil {
		return nil
	}
	return certificates.Server()
}

// peerCredentials returns nil for plain text.
func peerCredentials(certificates *certifier.Certifier) credentials.TransportCredentials {
	if certificates == nil {
		return nil
	}
	return certificates.MutualServer()
}

// callerTLSConfig returns nil for plain HTTP.
func callerTLSConfig(settings EntrySettings) *tls.Config {
	if !settings.CallersTLS {
		return nil
	}
	return settings.Certificates.CallerConfig()
}

// withCertificates puts the certificates before the services that use them.
func withCertificates(certificates *certifier.Certifier, services ...registrar.Service) []registrar.Service {
	if certificates == nil {
		return services
	}
	return append([]registrar.Service{certificates}, services...)
}
