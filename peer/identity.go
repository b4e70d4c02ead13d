// Package peer connects the processes of a fleet over HTTP/3. They synchronize
// their views of the fleet and pass callers' requests on to each other. Both
// ends of a connection prove that they hold a fleet key.
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

// Identity holds a process's credentials for mutual TLS. An Ed25519 key pair is
// derived from each fleet key, so every process with the fleet key has the same
// identity. A retired key stops working at both ends without revoking a
// certificate.
type Identity struct {
	mu    sync.Mutex
	certs map[bundle.KeyID]tls.Certificate
	// current is the key whose certificate this process presents as a client.
	current bundle.KeyID
}

// NewIdentity returns an identity with the keys of the ring.
func NewIdentity(r keyring.Ring) (*Identity, error) {
	i := &Identity{}
	return i, i.SetKeys(r)
}

// SetKeys replaces the keys in force. Clients present the first key of the ring.
func (i *Identity) SetKeys(r keyring.Ring) error {
	certs := map[bundle.KeyID]tls.Certificate{}
	for _, s := range r {
		c, err := newCertificate(s)
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

// certificateLifetime is long because validity depends on the fleet keys in force,
// not on the expiry date.
const certificateLifetime = 10 * 365 * 24 * time.Hour

func newCertificate(s keyring.Secret) (tls.Certificate, error) {
	k := ed25519.NewKeyFromSeed(s.Derive(keyring.UseTLS, ed25519.SeedSize))
	t := &x509.Certificate{
		SerialNumber: big.NewInt(int64(s.ID())),
		Subject:      pkix.Name{CommonName: serverName(s.ID())},
		DNSNames:     []string{serverName(s.ID())},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, k.Public(), k)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "create peer certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: k}, nil
}

func serverName(id bundle.KeyID) string { return fmt.Sprintf("key-%d.pomeloway", id) }

// ServerTLS returns the TLS settings for a listener that serves peers.
func (i *Identity) ServerTLS() *tls.Config {
	return http3.ConfigureTLSConfig(&tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(h *tls.ClientHelloInfo) (*tls.Certificate, error) { return i.certificateByName(h.ServerName) },
		ClientAuth:     tls.RequireAnyClientCert,
		// Certificates are self-signed: a peer is identified by its public key.
		VerifyPeerCertificate: i.verify,
	})
}

// ClientTLS returns the TLS settings for calls to peers, with the current key.
func (i *Identity) ClientTLS() *tls.Config {
	i.mu.Lock()
	name := serverName(i.current)
	i.mu.Unlock()
	return http3.ConfigureTLSConfig(&tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.certificateByName(name)
		},
		// VerifyPeerCertificate checks the public key instead of the chain.
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: i.verify,
	})
}

func (i *Identity) certificateByName(name string) (*tls.Certificate, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for id, c := range i.certs {
		if serverName(id) == name {
			return &c, nil
		}
	}
	return nil, eris.Errorf("no fleet key in force matches server name %q", name)
}

// verify accepts a certificate whose public key belongs to a fleet key in force.
func (i *Identity) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	if len(raw) == 0 {
		return eris.New("peer presented no certificate")
	}
	c, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return eris.Wrap(err, "parse peer certificate")
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
	return eris.New("peer's certificate matches no fleet key in force")
}
