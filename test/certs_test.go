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

// authority signs certificates for a scenario.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func template(name string) *x509.Certificate {
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

func newAuthority(ts *testscript.TestScript, name string) *authority {
	a := &authority{cert: template(name), key: newKey(ts)}
	a.cert.IsCA, a.cert.BasicConstraintsValid = true, true
	a.cert.KeyUsage |= x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	ts.Check(err)
	a.cert, err = x509.ParseCertificate(der)
	ts.Check(err)
	return a
}

func (a *authority) issue(ts *testscript.TestScript, name string) {
	key := newKey(ts)
	der, err := x509.CreateCertificate(rand.Reader, template(name), a.cert, &key.PublicKey, a.key)
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

// cmdCerts writes certificates of new authorities: of the daemons, of the
// operator anna, and of a stranger whom other authorities know.
func cmdCerts(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 0, "certs")
	w := worldOf(ts)
	w.authority = newAuthority(ts, "authority")
	writePEM(ts, "ca.pem", "CERTIFICATE", w.authority.cert.Raw)
	w.authority.issue(ts, "daemon")
	w.authority.issue(ts, "anna")
	newAuthority(ts, "elsewhere").issue(ts, "stranger")
}
