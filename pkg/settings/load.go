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

// Load reads and checks a settings file. An error names the file, the line and
// the field, and says what is allowed.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Errorf("cannot read the settings: %v. Name an existing file with --settings.", err)
	}
	out, err := Parse(text)
	return out, errors.Wrapf(err, "%s", path)
}

// Parse checks the text of a settings file over the defaults.
func Parse(text []byte) (Settings, error) {
	out := Default()
	if err := DecodeStrict(text, &out); err != nil {
		return Settings{}, err
	}
	if err := out.checkPlainText(); err != nil {
		return Settings{}, err
	}
	if err := out.checkBodies(); err != nil {
		return Settings{}, err
	}
	return out, nil
}

// DecodeStrict decodes YAML into out, refuses unknown fields, and checks the
// validate tags. Its errors hold line, column and an excerpt.
func DecodeStrict(text []byte, out any) error {
	check, err := newValidator()
	if err != nil {
		return err
	}
	root := reflect.TypeOf(out).Elem().Name()
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict(), yaml.Validator(explainer{check, root}))
	if err := dec.Decode(out); err != nil {
		return errors.New(strings.TrimRight(yaml.FormatError(err, false, true), "\n"))
	}
	// The decoder checks only the structs that the text mentions.
	return explainer{check, root}.Struct(out)
}

// explainer turns the validator's terse errors into sentences. The decoder
// adds line and excerpt for the field that is wrong.
type explainer struct {
	check *validator.Validate
	// root is the name of the outermost struct, which paths leave out.
	root string
}

// Struct implements yaml.StructValidator.
func (e explainer) Struct(v any) error {
	err := e.check.Struct(v)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	out := make(fieldErrors, 0, len(fields))
	for _, field := range fields {
		out = append(out, fieldError{field, e.root})
	}
	return out
}

type fieldErrors []fieldError

// Error implements error with one line a field.
func (f fieldErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, field := range f {
		lines = append(lines, field.Error())
	}
	return strings.Join(lines, "\n")
}

// fieldError is one field's fault. StructField tells the decoder where it stands.
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
	return fmt.Sprintf("%s: %v is not allowed. %s", path, f.Value(), allowed(f.Tag(), f.Param()))
}

func allowed(tag, param string) string {
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

func newValidator() (*validator.Validate, error) {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(yamlName)
	err := check.RegisterValidation("ip_port", func(fl validator.FieldLevel) bool {
		_, parseErr := netip.ParseAddrPort(fl.Field().String())
		return parseErr == nil
	})
	return check, errors.Wrap(err, "settings checks")
}

// checkBodies refuses a bound of bodies that keeps the largest one allowed out for good.
func (s *Settings) checkBodies() error {
	if l := &s.Limits; l.BodiesBytes < l.MaxBodyBytes {
		return errors.Errorf("limits.bodies_bytes: %d is less than limits.max_body_bytes, %d, so that the largest bodies would never be taken. Raise the one or lower the other.", l.BodiesBytes, l.MaxBodyBytes)
	}
	return nil
}

// checkPlainText refuses listeners for daemons and operators that are open to
// the network without TLS, unless the settings say so in plain words.
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

// snakeCase turns a Go struct's name into its settings section, as in
// BackendServer to backend_server.
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
