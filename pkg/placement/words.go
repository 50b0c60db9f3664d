package placement

import "github.com/pkg/errors"

var classWords = []string{"normal", "urgent", "background"}

var keyRuleWords = []string{"required", "optional"}

// String returns the class's word in YAML and in the operators' calls.
func (self Class) String() string { return wordOf(classWords, int(self)) }

// String returns the rule's word in YAML and in the operators' calls.
func (self KeyRule) String() string { return wordOf(keyRuleWords, int(self)) }

// MarshalText implements encoding.TextMarshaler for YAML.
func (self Class) MarshalText() ([]byte, error) { return []byte(self.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler for YAML.
func (self *Class) UnmarshalText(text []byte) error {
	i, err := indexOf(classWords, string(text))
	*self = Class(i)
	return err
}

// MarshalText implements encoding.TextMarshaler for YAML.
func (self KeyRule) MarshalText() ([]byte, error) { return []byte(self.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler for YAML.
func (self *KeyRule) UnmarshalText(text []byte) error {
	i, err := indexOf(keyRuleWords, string(text))
	*self = KeyRule(i)
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
