// Package certs makes TLS configurations from certificate files, which are
// read again when they change. Source: docs/design/keeping-others-out.md.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/settings"
)

// checkEvery is how often the files are looked at, at most.
const checkEvery = time.Second

// Reloader holds what the certificate files said last.
type Reloader struct {
	files settings.TLS

	mu      sync.Mutex
	checked time.Time
	changed time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// NewReloader reads the files; nil without an error when the settings name none.
func NewReloader(files settings.TLS) (*Reloader, error) {
	if files.Cert == "" {
		return nil, nil
	}
	r := &Reloader{files: files}
	if err := r.read(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Reloader) read() error {
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return errors.Errorf("cannot use the certificate %s with the key %s: %v. Name a matching pair under tls.", r.files.Cert, r.files.Key, err)
	}
	ca, err := os.ReadFile(r.files.CA)
	if err != nil {
		return errors.Errorf("cannot read tls.ca: %v. Name the file of the authorities' certificates.", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return errors.Errorf("%s holds no certificate. Name a PEM file under tls.ca.", r.files.CA)
	}
	r.cert, r.pool, r.changed = &cert, pool, r.newest()
	return nil
}

func (r *Reloader) newest() time.Time {
	var newest time.Time
	for _, name := range []string{r.files.Cert, r.files.Key, r.files.CA} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the newest usable files. Files that are half replaced keep
// the old ones in use until the next look.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.checked) >= checkEvery {
		r.checked = now
		if !r.newest().Equal(r.changed) {
			// A pair that does not match yet is no reason to stop serving.
			_ = r.read()
		}
	}
	return r.cert, r.pool
}

// Server returns the configuration of a listener that accepts only peers with
// a certificate of the authorities. A nil Reloader gives nil: plain text.
func (r *Reloader) Server() *tls.Config {
	if r == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := r.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientCAs:    pool,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// Client returns the configuration for dialling; nil for plain text. The
// server's certificate must be of the authorities; its name is not compared,
// since daemons are dialled by IP number and any of them may be replaced.
func (r *Reloader) Client() *tls.Config {
	if r == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: r.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
	}
}

// verify checks the chain to the authorities, which InsecureSkipVerify left out
// together with the comparison of names.
func (r *Reloader) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	if len(raw) == 0 {
		return errors.New("the peer showed no certificate")
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return errors.Wrap(err, "the peer's certificate")
	}
	between := x509.NewCertPool()
	for _, der := range raw[1:] {
		cert, parseErr := x509.ParseCertificate(der)
		if parseErr != nil {
			return errors.Wrap(parseErr, "the peer's certificate")
		}
		between.AddCert(cert)
	}
	_, pool := r.current()
	_, err = leaf.Verify(x509.VerifyOptions{Roots: pool, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return errors.Wrap(err, "the peer's certificate is not of the authorities in tls.ca")
}
