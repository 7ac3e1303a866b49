package assembler

import (
	"crypto/tls"

	"google.golang.org/grpc/credentials"

	"burdocklink/certifier"
	"burdocklink/registrar"
)

// clientCredentials returns nil if connections are not encrypted.
func clientCredentials(certificates *certifier.Certifier) credentials.TransportCredentials {
	if certificates == nil {
		return nil
	}
	return certificates.Client()
}

// serverCredentials returns nil if connections are not encrypted.
func serverCredentials(certificates *certifier.Certifier) credentials.TransportCredentials {
	if certificates == nil {
		return nil
	}
	return certificates.Server()
}

// peerCredentials returns nil if connections are not encrypted.
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

// withCertificates prepends the certifier, if any, to the services that use it.
func withCertificates(certificates *certifier.Certifier, services ...registrar.Service) []registrar.Service {
	if certificates == nil {
		return services
	}
	return append([]registrar.Service{certificates}, services...)
}
