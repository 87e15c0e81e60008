package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/backup"
	"github.com/plankridge/plankridge/internal/config"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/standin/memnet"
	"github.com/plankridge/plankridge/internal/vmlist"
)

func makeDaemons(count, zones int) []vmlist.VM {
	var daemons []vmlist.VM
	for i := range count {
		daemons = append(daemons, vmlist.VM{ID: fmt.Sprintf("d%03d", i), Zone: fmt.Sprintf("z%d", i%zones)})
	}
	return daemons
}

func TestContactsAreBoundedAndConnected(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{2, 6, 8, 40, 330} {
		daemons := makeDaemons(size, 7)
		reached := map[string]bool{daemons[0].ID: true}
		frontier := []vmlist.VM{daemons[0]}
		rounds := 0
		for len(frontier) > 0 {
			var next []vmlist.VM
			for _, daemon := range frontier {
				contacts := Contacts(daemon, daemons)
				c.Assert(len(contacts) <= sameZoneContacts+6*otherZoneContacts, qt.IsTrue)
				for _, contact := range contacts {
					c.Assert(contact.ID, qt.Not(qt.Equals), daemon.ID)
					if !reached[contact.ID] {
						reached[contact.ID] = true
						next = append(next, contact)
					}
				}
			}
			frontier = next
			rounds++
		}
		c.Check(reached, qt.HasLen, size)
		c.Check(rounds <= 6, qt.IsTrue, qt.Commentf("%d daemons in %d rounds", size, rounds))
	}
}

func TestAnswerHoldersAgree(t *testing.T) {
	c := qt.New(t)
	daemons := makeDaemons(12, 3)
	id := string(request.NewID("d000", [16]byte{1}))
	first := AnswerHolders(id, daemons)
	reversed := make([]vmlist.VM, 0, len(daemons))
	for i := len(daemons) - 1; i >= 0; i-- {
		reversed = append(reversed, daemons[i])
	}
	c.Check(AnswerHolders(id, reversed), qt.DeepEquals, first)
}

// authority issues certificates into a directory.
type authority struct {
	c    *qt.C
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(c *qt.C, dir string) *authority {
	a := &authority{c: c, dir: dir}
	a.cert, a.key = a.issue("ca", nil, "ca")
	return a
}

// issue writes NAME.pem and NAME.key. Without a parent, the certificate is self-signed.
func (a *authority) issue(name string, parent *authority, dnsName string) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.c.Assert(err, qt.IsNil)
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	a.c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, DNSNames: []string{dnsName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: parent == nil, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	signer, signerKey := template, key
	if parent != nil {
		signer, signerKey = parent.cert, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, signer, &key.PublicKey, signerKey)
	a.c.Assert(err, qt.IsNil)
	cert, err := x509.ParseCertificate(der)
	a.c.Assert(err, qt.IsNil)
	rawKey, err := x509.MarshalECPrivateKey(key)
	a.c.Assert(err, qt.IsNil)
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", rawKey)
	return cert, key
}

func (a *authority) write(name, kind string, der []byte) {
	raw := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	a.c.Assert(os.WriteFile(filepath.Join(a.dir, name), raw, 0o600), qt.IsNil)
}

func (a *authority) files(name string) *config.PeerTLS {
	at := func(file string) string { return filepath.Join(a.dir, file) }
	return &config.PeerTLS{CertFile: at(name + ".pem"), KeyFile: at(name + ".key"), CAFile: at("ca.pem")}
}

// handshake runs a TLS handshake between two sets of credentials and returns
// the errors of both sides.
func handshake(server, client *Credentials) (error, error) {
	host := memnet.New().Host("10.0.0.1")
	listener, err := host.Listen("10.0.0.1:9080")
	if err != nil {
		return err, err
	}
	clientConn, err := host.Dial(context.Background(), "10.0.0.1:9080")
	if err != nil {
		return err, err
	}
	defer func() { _ = clientConn.Close() }()
	serverErr := make(chan error, 1)
	go func() { serverErr <- serveHandshake(server, listener) }()
	conn, _, err := client.Client.ClientHandshake(context.Background(), "10.0.0.1:9080", clientConn)
	if err == nil {
		_, err = conn.Write([]byte{1})
	} else {
		_ = clientConn.Close()
	}
	return <-serverErr, err
}

func serveHandshake(creds *Credentials, listener net.Listener) error {
	raw, err := listener.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = raw.Close() }()
	conn, _, err := creds.Server.ServerHandshake(raw)
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	return err
}

func credentialsOf(c *qt.C, files *config.PeerTLS, reload time.Duration) *Credentials {
	creds, err := newTLS(files, reload)
	c.Assert(err, qt.IsNil)
	c.Cleanup(creds.Close)
	return creds
}

func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	trusted, untrusted := newAuthority(c, c.TempDir()), newAuthority(c, c.TempDir())
	trusted.issue("a", trusted, CertificateName)
	trusted.issue("b", trusted, CertificateName)
	trusted.issue("other", trusted, "some-other-program")
	untrusted.issue("x", untrusted, CertificateName)
	a, b := credentialsOf(c, trusted.files("a"), time.Hour), credentialsOf(c, trusted.files("b"), time.Hour)

	serverErr, clientErr := handshake(a, b)
	c.Assert(serverErr, qt.IsNil)
	c.Assert(clientErr, qt.IsNil)
	for _, rejected := range []*config.PeerTLS{untrusted.files("x"), trusted.files("other")} {
		serverErr, clientErr = handshake(a, credentialsOf(c, rejected, time.Hour))
		c.Check(serverErr != nil || clientErr != nil, qt.IsTrue)
		serverErr, clientErr = handshake(credentialsOf(c, rejected, time.Hour), a)
		c.Check(serverErr != nil || clientErr != nil, qt.IsTrue)
	}
}

func TestCertificatesAreReloaded(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	old := newAuthority(c, dir)
	old.issue("a", old, CertificateName)
	a := credentialsOf(c, old.files("a"), 5*time.Millisecond)
	fresh := newAuthority(c, dir)
	fresh.issue("a", fresh, CertificateName)
	fresh.issue("b", fresh, CertificateName)
	b := credentialsOf(c, fresh.files("b"), time.Hour)
	for {
		serverErr, clientErr := handshake(a, b)
		if serverErr == nil && clientErr == nil {
			return
		}
	}
}

func TestClosedMeshOpensNoConnection(t *testing.T) {
	c := qt.New(t)
	m := NewMesh(Options{Self: vmlist.VM{ID: "a"}, Network: memnet.New().Host("10.0.0.1"), Copies: backup.NewStore(1)})
	m.Close()
	_, err := m.client(vmlist.VM{ID: "b", Address: "10.0.0.2:9080"})
	c.Check(err, qt.ErrorIs, errMeshClosed)
}

// TestLateMessageProvesNoDeath checks that a process is not taken for dead when a message
// from a replaced process is processed after its successor has answered.
func TestLateMessageProvesNoDeath(t *testing.T) {
	c := qt.New(t)
	m := NewMesh(Options{Self: vmlist.VM{ID: "self"}, Copies: backup.NewStore(1), Logger: slog.New(slog.DiscardHandler)})
	old, successor := backup.Owner{Daemon: "d", Incarnation: 1}, backup.Owner{Daemon: "d", Incarnation: 2}
	m.recordReply(process{"d", 2}, m.nextLogicalTime())
	m.recordProcess(process{"d", 1}) // sent before the restart, handled now
	c.Check(m.ownerIsDead(successor), qt.IsFalse)
	c.Check(m.ownerIsDead(old), qt.IsFalse)

	callStart := m.nextLogicalTime()
	m.recordProcess(process{"d", 3}) // a copy of a newer process, while the call is under way
	m.recordReply(process{"d", 2}, callStart)
	c.Check(m.ownerIsDead(backup.Owner{Daemon: "d", Incarnation: 3}), qt.IsFalse)
	c.Check(m.ownerIsDead(old), qt.IsTrue)

	m.recordReply(process{"d", 3}, m.nextLogicalTime())
	c.Check(m.ownerIsDead(successor), qt.IsTrue)
	c.Check(m.ownerIsDead(backup.Owner{Daemon: "self", Incarnation: m.incarnation + 1}), qt.IsTrue)
	c.Check(m.ownerIsDead(backup.Owner{Daemon: "self", Incarnation: m.incarnation}), qt.IsFalse)
}
