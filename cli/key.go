package cli

import (
	"crypto/rand"
	"fmt"
	"os"

	"aead.dev/minisign"
	"github.com/rotisserie/eris"

	"pomeloway.example/pomeloway/keyring"
)

// keyNew prints a fleet key. No other command prints a secret.
func keyNew(o KeyNew, s streams) error {
	if o.ID == 0 {
		return eris.New("--id must be 1 to 255")
	}
	k := keyring.NewSecret(o.ID)
	fmt.Fprintf(s.out, "# Secret. For the balancers and agents only:\nPOMELOWAY_KEYS=%s\n# For the bundle:\nkeys:\n  - {id: %d, fingerprint: %s}\n", k.Reveal(), o.ID, k.Fingerprint())
	return nil
}

const secretFileMode = 0o600

// keyOperator writes an operator's key pair to two files and prints the settings
// that refer to it.
func keyOperator(o KeyOperator, s streams) error {
	pub, key, err := minisign.GenerateKey(rand.Reader)
	if err != nil {
		return eris.Wrap(err, "generate operator's key")
	}
	var secret []byte
	if o.Password != "" {
		secret, err = minisign.EncryptKey(o.Password, key)
	} else {
		secret, err = key.MarshalText()
	}
	if err != nil {
		return eris.Wrap(err, "encode operator's secret key")
	}
	f, err := os.OpenFile(o.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretFileMode)
	if err != nil {
		return eris.Wrap(err, "create file for operator's secret key (an existing key is never overwritten)")
	}
	defer f.Close()
	if _, err := f.Write(secret); err != nil {
		return eris.Wrap(err, "write operator's secret key")
	}
	if err := os.WriteFile(o.File+".pub", []byte(pub.String()+"\n"), publicFileMode); err != nil {
		return eris.Wrap(err, "write operator's public key")
	}
	fmt.Fprintf(s.out, "POMELOWAY_SIGN=%s\nPOMELOWAY_TRUST=%s\n", o.File, pub.String())
	return nil
}
