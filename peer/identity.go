// Package peer is what the fleet's processes say to each other over HTTP/3:
// they follow each other's view of the fleet and hand requests over. Both ends
// prove that they hold a fleet key.
package peer

import (
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"sync"
	"time"

	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/bundle"
	"pomeloway.example/pomeloway/keyring"
)

// Identity is a process's side of mutual TLS. Each fleet key derives one
// Ed25519 pair, so holding the key is the identity, and a key that operators
// retire stops working at both ends with no certificate to revoke.
type Identity struct {
	mu    sync.Mutex
	certs map[bundle.KeyID]tls.Certificate
	// current is the key that this process presents.
	current bundle.KeyID
}

// NewIdentity returns the identity of a ring.
func NewIdentity(r keyring.Ring) (*Identity, error) {
	i := &Identity{}
	return i, i.Set(r)
}

// Set changes the keys in force; the first is the one to present.
func (i *Identity) Set(r keyring.Ring) error {
	certs := map[bundle.KeyID]tls.Certificate{}
	for _, s := range r {
		c, err := certificate(s)
		if err != nil {
			return err
		}
		certs[s.ID()] = c
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.certs = certs
	if len(r) > 0 {
		i.current = r[0].ID()
	}
	return nil
}

// certificateLife is long, since the fleet key and not the date decides.
const certificateLife = 10 * 365 * 24 * time.Hour

func certificate(s keyring.Secret) (tls.Certificate, error) {
	k := ed25519.NewKeyFromSeed(s.Derive(keyring.UseTLS, ed25519.SeedSize))
	t := &x509.Certificate{
		SerialNumber: big.NewInt(int64(s.ID())),
		Subject:      pkix.Name{CommonName: serverName(s.ID())},
		DNSNames:     []string{serverName(s.ID())},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Now().Add(certificateLife),
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, k.Public(), k)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "peer certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: k}, nil
}

func serverName(id bundle.KeyID) string { return fmt.Sprintf("key-%d.pomeloway", id) }

// ServerTLS returns the settings of a listener for peers.
func (i *Identity) ServerTLS() *tls.Config {
	return http3.ConfigureTLSConfig(&tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(h *tls.ClientHelloInfo) (*tls.Certificate, error) { return i.byName(h.ServerName) },
		ClientAuth:     tls.RequireAnyClientCert,
		// The identity of a peer is its public key: no authority signs it.
		VerifyPeerCertificate: i.verify,
	})
}

// ClientTLS returns the settings for calls to peers.
func (i *Identity) ClientTLS() *tls.Config {
	i.mu.Lock()
	name := serverName(i.current)
	i.mu.Unlock()
	return http3.ConfigureTLSConfig(&tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.byName(name)
		},
		// VerifyPeerCertificate compares the public key in the chain's place.
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: i.verify,
	})
}

func (i *Identity) byName(name string) (*tls.Certificate, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for id, c := range i.certs {
		if serverName(id) == name {
			return &c, nil
		}
	}
	return nil, eris.Errorf("no fleet key in force fits %q", name)
}

// verify accepts the certificate of any key in force.
func (i *Identity) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	if len(raw) == 0 {
		return eris.New("peer shows no certificate")
	}
	c, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return eris.Wrap(err, "peer's certificate")
	}
	got, ok := c.PublicKey.(ed25519.PublicKey)
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, own := range i.certs {
		k := own.PrivateKey.(ed25519.PrivateKey).Public().(ed25519.PublicKey)
		if ok && bytes.Equal(got, k) {
			return nil
		}
	}
	return eris.New("peer holds no fleet key in force")
}
