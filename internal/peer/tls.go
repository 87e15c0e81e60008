package peer

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/credentials/tls/certprovider"
	"google.golang.org/grpc/credentials/tls/certprovider/pemfile"
	"google.golang.org/grpc/security/advancedtls"

	"github.com/plankridge/plankridge/internal/config"
)

// reloadInterval is how often the files for mutual TLS are reloaded.
const reloadInterval = 30 * time.Second

// CertificateName is the DNS name in every daemon's certificate. Certificates do not
// contain addresses because daemons may be replaced at any time.
const CertificateName = "plankridge-peer"

// Credentials holds the server and client credentials for peer connections.
type Credentials struct {
	Server credentials.TransportCredentials
	Client credentials.TransportCredentials
	close  func()
}

// Close stops reloading the files.
func (c *Credentials) Close() { c.close() }

// NewCredentials returns credentials for mutual TLS, reloaded from files, or plaintext
// credentials if the settings ask for them.
func NewCredentials(settings config.PeerSettings) (*Credentials, error) {
	if settings.Plaintext {
		plain := insecure.NewCredentials()
		return &Credentials{Server: plain, Client: plain, close: func() {}}, nil
	}
	return newTLS(settings.TLS, reloadInterval)
}

func newTLS(files *config.PeerTLS, reload time.Duration) (*Credentials, error) {
	identity, err := pemfile.NewProvider(pemfile.Options{
		CertFile: files.CertFile, KeyFile: files.KeyFile, RefreshDuration: reload,
	})
	if err != nil {
		return nil, eris.Wrap(err, "load peer certificate")
	}
	roots, err := pemfile.NewProvider(pemfile.Options{RootFile: files.CAFile, RefreshDuration: reload})
	if err != nil {
		identity.Close()
		return nil, eris.Wrap(err, "load peer CA")
	}
	creds := &Credentials{close: func() { identity.Close(); roots.Close() }}
	if err := creds.build(identity, roots); err != nil {
		creds.Close()
		return nil, err
	}
	return creds, nil
}

func (c *Credentials) build(identity, roots certprovider.Provider) error {
	verify := func(info *advancedtls.HandshakeVerificationInfo) (*advancedtls.PostHandshakeVerificationResults, error) {
		if err := info.Leaf.VerifyHostname(CertificateName); err != nil {
			return nil, eris.Wrap(err, "certificate does not belong to a daemon")
		}
		return &advancedtls.PostHandshakeVerificationResults{}, nil
	}
	options := func() *advancedtls.Options {
		// Creating credentials modifies the options, so each side needs its own.
		return &advancedtls.Options{
			IdentityOptions:            advancedtls.IdentityCertificateOptions{IdentityProvider: identity},
			RootOptions:                advancedtls.RootCertificateOptions{RootProvider: roots},
			AdditionalPeerVerification: verify,
			RequireClientCert:          true,
			VerificationType:           advancedtls.CertVerification,
		}
	}
	server, err := advancedtls.NewServerCreds(options())
	if err != nil {
		return eris.Wrap(err, "create peer server credentials")
	}
	client, err := advancedtls.NewClientCreds(options())
	if err != nil {
		return eris.Wrap(err, "create peer client credentials")
	}
	c.Server, c.Client = server, client
	return nil
}
