package pg

import (
	"regexp"
	"slices"
	"strings"
)

// tokenPattern matches the next token of an SQL text: blanks, a comment, a literal or quoted name, the quote before and
// after a literal in dollars, a word, or any other character.
var tokenPattern = regexp.MustCompile(`(?s)^(?:\s+|--[^\n]*|/\*.*?\*/|/\*|'[^']*'|"[^"]*"|` +
	`\$(?:[a-zA-Z_\x{80}-\x{10FFFF}][0-9a-zA-Z_\x{80}-\x{10FFFF}]*)?\$|` +
	`[a-zA-Z_\x{80}-\x{10FFFF}][0-9a-zA-Z_$\x{80}-\x{10FFFF}]*|.)`)

// wordPattern matches a token that is a word.
var wordPattern = regexp.MustCompile(`^[a-zA-Z_\x{80}-\x{10FFFF}]`)

// blanks are the characters between words.
const blanks = " \t\n\r\f\v"

// otherToken stands in a statement for a token that is no word.
const otherToken = "?"

// statement is the list of the words of one SQL statement, in lower case.
type statement []string

// splitStatements returns the statements of an SQL text that are not empty. ok is false when they can't be told apart: a
// quote or a comment does not end, a comment holds another, or a literal holds a backslash, which quotes the next character
// or not.
func splitStatements(text string) (statements []statement, ok bool) {
	var words statement
	for rest := text; rest != ""; {
		token := tokenPattern.FindString(rest)
		rest = rest[len(token):]
		switch {
		case token == ";":
			statements = appendStatement(statements, words)
			words = nil
		case strings.HasPrefix(token, "/*"):
			if token == "/*" || strings.Contains(token[1:], "/*") {
				return nil, false
			}
		case token == "'" || token == `"` || token[0] == '\'' && strings.Contains(token, `\`):
			return nil, false
		case token[0] == '$' && len(token) > 1:
			_, after, found := strings.Cut(rest, token)
			if !found {
				return nil, false
			}
			rest = after
			words = append(words, otherToken)
		case strings.HasPrefix(token, "--") || strings.Trim(token, blanks) == "":
		case wordPattern.MatchString(token):
			words = append(words, strings.ToLower(token))
		default:
			words = append(words, otherToken)
		}
	}
	return appendStatement(statements, words), true
}

func appendStatement(statements []statement, words statement) []statement {
	if len(words) == 0 {
		return statements
	}
	return append(statements, words)
}

// word returns the word with the index i, or an empty one.
func (s statement) word(i int) string {
	if i >= len(s) {
		return ""
	}
	return s[i]
}

// begins reports whether the statement begins an explicit transaction.
func (s statement) begins() bool {
	return s.word(0) == "begin" || s.word(0) == "start" && s.word(1) == "transaction"
}

// commits reports whether the statement commits or prepares the transaction.
func (s statement) commits() bool {
	switch s.word(0) {
	case "commit", "end":
		return true
	case "prepare":
		return s.word(1) == "transaction"
	}
	return false
}

// rollsBackTo reports whether the statement rolls back to a savepoint: ROLLBACK [WORK | TRANSACTION] TO.
func (s statement) rollsBackTo() bool {
	return s.word(0) == "rollback" && (s.word(1) == "to" || s.word(2) == "to")
}

// ends reports whether the statement ends the transaction.
func (s statement) ends() bool {
	return s.commits() || s.word(0) == "abort" || s.word(0) == "rollback" && !s.rollsBackTo()
}

// chains reports whether a statement that ends a transaction also begins the next one.
func (s statement) chains() bool {
	i := slices.Index(s, "chain")
	return i > 0 && s[i-1] == "and"
}
