package settings

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"unicode"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Load reads and validates a settings file. Its errors name the file, the line and the
// field, and say which values are allowed.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Errorf("cannot read the settings: %v. Name an existing file with --settings.", err)
	}
	out, err := Parse(text)
	return out, errors.Wrapf(err, "%s", path)
}

// Parse parses and validates the text of a settings file. Settings that it does not name
// keep their defaults.
func Parse(text []byte) (Settings, error) {
	out := Default()
	if err := DecodeStrict(text, &out); err != nil {
		return Settings{}, err
	}
	if err := out.checkPlainText(); err != nil {
		return Settings{}, err
	}
	if err := out.checkBodyLimits(); err != nil {
		return Settings{}, err
	}
	return out, nil
}

// DecodeStrict decodes YAML into out, a pointer to a struct. It refuses unknown fields and
// checks the validate tags. Its errors contain the line, the column and an excerpt.
func DecodeStrict(text []byte, out any) error {
	validate, err := newValidate()
	if err != nil {
		return err
	}
	root := reflect.TypeOf(out).Elem().Name()
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict(), yaml.Validator(structValidator{validate, root}))
	if err := dec.Decode(out); err != nil {
		return errors.New(strings.TrimRight(yaml.FormatError(err, false, true), "\n"))
	}
	// The decoder validates only the structs that the text mentions.
	return structValidator{validate, root}.Struct(out)
}

// structValidator validates structs for the YAML decoder and returns errors as sentences, to
// which the decoder adds the line and an excerpt.
type structValidator struct {
	validate *validator.Validate
	// root is the name of the outermost struct, which paths leave out.
	root string
}

// Struct implements yaml.StructValidator.
func (s structValidator) Struct(v any) error {
	err := s.validate.Struct(v)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	out := make(fieldErrors, 0, len(fields))
	for _, field := range fields {
		out = append(out, fieldError{field, s.root})
	}
	return out
}

type fieldErrors []fieldError

// Error implements error. The text has one line per field.
func (f fieldErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, field := range f {
		lines = append(lines, field.Error())
	}
	return strings.Join(lines, "\n")
}

// fieldError is the error of one field. The YAML decoder calls StructField, a method of the
// embedded validator.FieldError, to find the line of the field.
type fieldError struct {
	validator.FieldError
	root string
}

// Error implements error.
func (f fieldError) Error() string {
	section, path, _ := strings.Cut(f.Namespace(), ".")
	if section != f.root {
		path = snakeCase(section) + "." + path
	}
	return fmt.Sprintf("%s: %v is not allowed. %s", path, f.Value(), advice(f.Tag(), f.Param()))
}

// advice returns a sentence on how to correct a value that the validate tag refuses.
func advice(tag, param string) string {
	switch tag {
	case "required":
		return "Give a value."
	case "required_with":
		return "Give a value: it is needed because of " + strings.ToLower(param) + "."
	case "ip_port":
		return `Give an IP number and a port, as in "127.0.0.1:7400".`
	case "oneof":
		return "Give one of: " + strings.ReplaceAll(param, " ", ", ") + "."
	case "min":
		return "Give at least " + param + "."
	case "max":
		return "Give at most " + param + "."
	case "file":
		return "Give the path of an existing file."
	}
	return "It must satisfy " + tag + " " + param + "."
}

func newValidate() (*validator.Validate, error) {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(yamlName)
	err := validate.RegisterValidation("ip_port", func(fl validator.FieldLevel) bool {
		_, parseErr := netip.ParseAddrPort(fl.Field().String())
		return parseErr == nil
	})
	return validate, errors.Wrap(err, "settings checks")
}

// checkBodyLimits refuses a limits.bodies_bytes below the maximum size of a single body.
func (s *Settings) checkBodyLimits() error {
	if l := &s.Limits; l.BodiesBytes < l.MaxBodyBytes {
		return errors.Errorf("limits.bodies_bytes: %d is less than limits.max_body_bytes, %d, so that the largest bodies would always be refused. Raise the one or lower the other.", l.BodiesBytes, l.MaxBodyBytes)
	}
	return nil
}

// checkPlainText refuses listeners for daemons and operators that are open to the network
// without TLS, unless tls.plain_text_on_the_network is set.
// Source: docs/design/keeping-others-out.md.
func (s *Settings) checkPlainText() error {
	if s.TLS.Cert != "" || s.TLS.PlainTextOnTheNetwork {
		return nil
	}
	for name, address := range map[string]string{"listen.links": s.Listen.Links, "listen.operators": s.Listen.Operators} {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return errors.Wrap(err, name)
		}
		ip, err := netip.ParseAddr(host)
		if err != nil {
			return errors.Wrap(err, name)
		}
		if !ip.IsLoopback() {
			return errors.Errorf("%s: %s is open to the network without TLS. Name certificate files under tls, or set tls.plain_text_on_the_network to true.", name, address)
		}
	}
	return nil
}

func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

// snakeCase turns the name of a Go struct into that of its settings section: BackendServer
// becomes backend_server.
func snakeCase(name string) string {
	var out strings.Builder
	lower := false
	for _, r := range name {
		if unicode.IsUpper(r) && lower {
			out.WriteByte('_')
		}
		lower = unicode.IsLower(r)
		out.WriteRune(unicode.ToLower(r))
	}
	return out.String()
}
