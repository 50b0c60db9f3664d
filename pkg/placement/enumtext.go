package placement

import "github.com/pkg/errors"

var classWords = []string{"normal", "urgent", "background"}

var keyRuleWords = []string{"required", "optional"}

// String returns the class's word in YAML and in the operators' calls.
func (c Class) String() string { return wordOf(classWords, int(c)) }

// String returns the rule's word in YAML and in the operators' calls.
func (k KeyRule) String() string { return wordOf(keyRuleWords, int(k)) }

// MarshalText implements encoding.TextMarshaler for YAML.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler for YAML.
func (c *Class) UnmarshalText(text []byte) error {
	i, err := indexOf(classWords, string(text))
	*c = Class(i)
	return err
}

// MarshalText implements encoding.TextMarshaler for YAML.
func (k KeyRule) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler for YAML.
func (k *KeyRule) UnmarshalText(text []byte) error {
	i, err := indexOf(keyRuleWords, string(text))
	*k = KeyRule(i)
	return err
}

func wordOf(words []string, i int) string {
	if i < len(words) {
		return words[i]
	}
	return "unknown"
}

func indexOf(words []string, word string) (int, error) {
	for i, w := range words {
		if w == word {
			return i, nil
		}
	}
	return 0, errors.Errorf("%q is not allowed. Give one of: %v.", word, words)
}
