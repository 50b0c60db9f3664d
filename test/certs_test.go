package test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// certAuthority signs the certificates of a scenario.
type certAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func certTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
}

func newKey(ts *testscript.TestScript) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	return key
}

func newAuthority(ts *testscript.TestScript, name string) *certAuthority {
	a := &certAuthority{cert: certTemplate(name), key: newKey(ts)}
	a.cert.IsCA, a.cert.BasicConstraintsValid = true, true
	a.cert.KeyUsage |= x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	ts.Check(err)
	a.cert, err = x509.ParseCertificate(der)
	ts.Check(err)
	return a
}

// issue writes a certificate and its key to NAME.pem and NAME.key.
func (a *certAuthority) issue(ts *testscript.TestScript, name string) {
	key := newKey(ts)
	der, err := x509.CreateCertificate(rand.Reader, certTemplate(name), a.cert, &key.PublicKey, a.key)
	ts.Check(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	ts.Check(err)
	writePEM(ts, name+".pem", "CERTIFICATE", der)
	writePEM(ts, name+".key", "EC PRIVATE KEY", keyDER)
}

func writePEM(ts *testscript.TestScript, file, kind string, der []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	ts.Check(os.WriteFile(ts.MkAbs(file), text, 0o600))
}

// cmdCerts creates a new authority and writes certificates for the daemons and
// the operator anna, and one for a stranger, signed by an authority that the
// daemons do not trust.
func cmdCerts(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 0, "certs")
	sc := scenarioOf(ts)
	sc.authority = newAuthority(ts, "authority")
	writePEM(ts, "ca.pem", "CERTIFICATE", sc.authority.cert.Raw)
	sc.authority.issue(ts, "daemon")
	sc.authority.issue(ts, "anna")
	newAuthority(ts, "elsewhere").issue(ts, "stranger")
}
