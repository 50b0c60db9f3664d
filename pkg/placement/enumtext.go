package placement

import "github.com/pkg/errors"

var classNames = []string{"normal", "urgent", "background"}

var keyRuleNames = []string{"required", "optional"}

// String returns the name of the class in YAML and in the operators' API.
func (c Class) String() string { return nameOf(classNames, int(c)) }

// String returns the name of the rule in YAML and in the operators' API.
func (k KeyRule) String() string { return nameOf(keyRuleNames, int(k)) }

// MarshalText implements encoding.TextMarshaler for YAML.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler for YAML.
func (c *Class) UnmarshalText(text []byte) error {
	i, err := indexOf(classNames, string(text))
	*c = Class(i)
	return err
}

// MarshalText implements encoding.TextMarshaler for YAML.
func (k KeyRule) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler for YAML.
func (k *KeyRule) UnmarshalText(text []byte) error {
	i, err := indexOf(keyRuleNames, string(text))
	*k = KeyRule(i)
	return err
}

func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return "unknown"
}

// indexOf returns the index of a name, or an error that lists the allowed names.
func indexOf(names []string, name string) (int, error) {
	for i, n := range names {
		if n == name {
			return i, nil
		}
	}
	return 0, errors.Errorf("%q is not allowed. Give one of: %v.", name, names)
}
