package demo

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/rotisserie/eris"
)

// serverName is the host name in the certificate of the agents, which callers
// verify.
const serverName = "pomeloway.demo"

// selfSigned returns TLS settings with a new self-signed certificate for agents,
// and TLS settings for callers that trust it.
func selfSigned() (serve, call *tls.Config, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "certificate")
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: serverName}, DNSNames: []string{serverName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, k.Public(), k)
	if err != nil {
		return nil, nil, eris.Wrap(err, "certificate")
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, nil, eris.Wrap(err, "certificate")
	}
	roots := x509.NewCertPool()
	roots.AddCert(c)
	serve = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: k}}}
	return serve, &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots, ServerName: serverName, NextProtos: []string{"h3"}}, nil
}
