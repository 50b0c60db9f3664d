package utils

import "strings"

// Label makes a word from outside fit to stand between quotes as the value of a metric's
// label: the metrics library ends the process at a name that is none. What would end the
// label, or its line, becomes an underscore.
func Label(value string) string { return strings.Map(labelRune, value) }

func labelRune(c rune) rune {
	if c == '"' || c == '\\' || c < ' ' {
		return '_'
	}
	return c
}
