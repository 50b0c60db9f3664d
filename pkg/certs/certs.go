// Package certs provides TLS configurations from certificate files, which are reloaded
// when they change. Source: docs/design/keeping-others-out.md.
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

// checkInterval is the minimum time between two checks whether the files have changed.
const checkInterval = time.Second

// Reloader holds the certificate of this process, and the certificate authorities (CAs) of
// its peers, as last loaded from the files. It is safe for concurrent use.
type Reloader struct {
	files settings.TLS

	mu sync.Mutex
	// checkedAt is when the files were last checked, modifiedAt the latest modification
	// time of those that are loaded.
	checkedAt   time.Time
	modifiedAt  time.Time
	cert        *tls.Certificate
	authorities *x509.CertPool
}

// NewReloader loads the files. It returns nil without an error if the settings name no
// certificate, and an error if a file cannot be used.
func NewReloader(files settings.TLS) (*Reloader, error) {
	if files.Cert == "" {
		return nil, nil
	}
	r := &Reloader{files: files}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

// load loads the files. On an error the Reloader is unchanged.
func (r *Reloader) load() error {
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return errors.Errorf("cannot use the certificate %s with the key %s: %v. Name a matching pair under tls.", r.files.Cert, r.files.Key, err)
	}
	ca, err := os.ReadFile(r.files.CA)
	if err != nil {
		return errors.Errorf("cannot read tls.ca: %v. Name the file of the authorities' certificates.", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(ca) {
		return errors.Errorf("%s holds no certificate. Name a PEM file under tls.ca.", r.files.CA)
	}
	r.cert, r.authorities, r.modifiedAt = &cert, authorities, r.latestModTime()
	return nil
}

// latestModTime returns the latest modification time of the files.
func (r *Reloader) latestModTime() time.Time {
	var latest time.Time
	for _, name := range []string{r.files.Cert, r.files.Key, r.files.CA} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the certificate and the authorities, reloaded if the files have changed.
// If the changed files cannot be loaded, as while they are being replaced, it returns the
// previous ones.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.checkedAt) >= checkInterval {
		r.checkedAt = now
		if !r.latestModTime().Equal(r.modifiedAt) {
			// On an error the previous certificate stays in use until the next check.
			_ = r.load()
		}
	}
	return r.cert, r.authorities
}

// Server returns the configuration of a listener that accepts only peers whose certificate
// is signed by one of the authorities. It returns nil, for plain text, if r is nil.
func (r *Reloader) Server() *tls.Config {
	if r == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, authorities := r.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientCAs:    authorities,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// Client returns the configuration for dialling. It returns nil, for plain text, if r is
// nil. The server's certificate must be signed by one of the authorities. The host name in
// the certificate is not checked, since daemons are dialled by IP address and any of them
// may be replaced.
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

// verify checks that the peer's certificate chain leads to one of the authorities.
// InsecureSkipVerify turns off this check together with that of the host name.
func (r *Reloader) verify(rawCerts [][]byte, _ [][]*x509.Certificate) error {
	if len(rawCerts) == 0 {
		return errors.New("the peer sent no certificate")
	}
	leaf, err := x509.ParseCertificate(rawCerts[0])
	if err != nil {
		return errors.Wrap(err, "parse the peer's certificate")
	}
	intermediates := x509.NewCertPool()
	for _, der := range rawCerts[1:] {
		cert, parseErr := x509.ParseCertificate(der)
		if parseErr != nil {
			return errors.Wrap(parseErr, "parse the peer's certificate")
		}
		intermediates.AddCert(cert)
	}
	_, authorities := r.current()
	_, err = leaf.Verify(x509.VerifyOptions{Roots: authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return errors.Wrap(err, "the peer's certificate is not signed by an authority in tls.ca")
}
