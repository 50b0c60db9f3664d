package utils

import "strings"

// Label returns a text that is safe as the quoted value of a metric label: it replaces
// quotes, backslashes and control characters by underscores. The metrics library ends the
// process if the name of a metric is invalid.
func Label(value string) string { return strings.Map(sanitiseRune, value) }

func sanitiseRune(c rune) rune {
	if c == '"' || c == '\\' || c < ' ' {
		return '_'
	}
	return c
}
