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

// reloadInterval is how often the files of mutual TLS are read again.
const reloadInterval = 30 * time.Second

// CertificateName is the DNS name that every daemon's certificate carries.
// Daemons are replaced at any time, so certificates do not name addresses.
const CertificateName = "plankridge-peer"

// Credentials are the two sides of the peer traffic's security.
type Credentials struct {
	Server credentials.TransportCredentials
	Client credentials.TransportCredentials
	close  func()
}

// Close ends the reloading of files.
func (c *Credentials) Close() { c.close() }

// NewCredentials returns mutual TLS from files that are reloaded, or plain
// text where the settings ask for it.
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
			return nil, eris.Wrap(err, "certificate is not a daemon's")
		}
		return &advancedtls.PostHandshakeVerificationResults{}, nil
	}
	options := func() *advancedtls.Options {
		// Making credentials fills in the options, so each side has its own.
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
		return eris.Wrap(err, "make peer server credentials")
	}
	client, err := advancedtls.NewClientCreds(options())
	if err != nil {
		return eris.Wrap(err, "make peer client credentials")
	}
	c.Server, c.Client = server, client
	return nil
}
