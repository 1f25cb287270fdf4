package member

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

var (
	parameterPattern = regexp.MustCompile(`\$(\d+)`)
	serialPattern    = regexp.MustCompile(`(?i)\b(big)?serial\s+primary\s+key`)
	sleepPattern     = regexp.MustCompile(`(?i)pg_sleep\(\s*([0-9.]+)\s*\)`)
	writePattern     = regexp.MustCompile(`(?i)\b(insert|update|delete)\b`)
	returningPattern = regexp.MustCompile(`(?is)\b(?:into|update|from)\s+(\w+).*\breturning\s+(.*)$`)
	countPattern     = regexp.MustCompile(`(?i)^(count|sum|max|min|length)\(`)
)

// splitStatements splits a simple query at semicolons outside quotes. Empty statements and leading comments are removed.
func splitStatements(query string) []string {
	var statements []string
	var current strings.Builder
	quote := rune(0)
	for _, r := range query {
		switch {
		case quote != 0:
			if r == quote {
				quote = 0
			}
		case r == '\'' || r == '"':
			quote = r
		case r == ';':
			statements = appendStatement(statements, current.String())
			current.Reset()
			continue
		}
		current.WriteRune(r)
	}
	return appendStatement(statements, current.String())
}

// appendStatement appends a statement without leading comments, unless it is empty.
func appendStatement(statements []string, statement string) []string {
	statement = strings.TrimSpace(statement)
	for {
		end := "\n"
		if strings.HasPrefix(statement, "/*") {
			end = "*/"
		} else if !strings.HasPrefix(statement, "--") {
			break
		}
		_, rest, _ := strings.Cut(statement, end)
		statement = strings.TrimSpace(rest)
	}
	if statement == "" {
		return statements
	}
	return append(statements, statement)
}

// firstWord returns the statement's first keyword in upper case.
func firstWord(statement string) string {
	word, _, _ := strings.Cut(strings.TrimSpace(statement), " ")
	word = strings.TrimRight(word, ";(\n\t")
	if end := strings.IndexAny(word, "\n\t("); end >= 0 {
		word = word[:end]
	}
	return strings.ToUpper(word)
}

// isRead reports whether a statement only reads.
func isRead(statement string) bool {
	switch firstWord(statement) {
	case "SELECT", "VALUES", "EXPLAIN", "SHOW", "PRAGMA":
		return true
	case "WITH":
		return !writePattern.MatchString(statement)
	default:
		return false
	}
}

// returnsRows reports whether a statement has result columns.
func returnsRows(statement string) bool {
	return isRead(statement) || returningPattern.MatchString(statement)
}

// toEngine rewrites PostgreSQL syntax that the engine does not support: $1 parameters, serial keys and pg_sleep.
func toEngine(statement string) string {
	statement = parameterPattern.ReplaceAllString(statement, "?$1")
	statement = serialPattern.ReplaceAllString(statement, "INTEGER PRIMARY KEY")
	return sleepPattern.ReplaceAllString(statement, "1")
}

// parameterCount returns the highest parameter number in a statement.
func parameterCount(statement string) int {
	highest := 0
	for _, match := range parameterPattern.FindAllStringSubmatch(statement, -1) {
		number, err := strconv.Atoi(match[1])
		if err == nil && number > highest {
			highest = number
		}
	}
	return highest
}

// argument converts a text parameter to an engine value: an int64 if it is a canonical integer, else a string.
func argument(text []byte) any {
	if text == nil {
		return nil
	}
	number, err := strconv.ParseInt(string(text), 10, 64)
	if err == nil && strconv.FormatInt(number, 10) == string(text) {
		return number
	}
	return string(text)
}

// typeOID maps a declared column type, or the name of an undeclared column, to a PostgreSQL type.
func typeOID(declared, name string) uint32 {
	declared = strings.ToUpper(declared)
	switch {
	case strings.Contains(declared, "INT"):
		return pgtype.Int8OID
	case strings.Contains(declared, "REAL"), strings.Contains(declared, "DOUBLE"), strings.Contains(declared, "FLOAT"):
		return pgtype.Float8OID
	case strings.Contains(declared, "BOOL"):
		return pgtype.BoolOID
	case declared == "" && countPattern.MatchString(name):
		return pgtype.Int8OID
	case declared == "" && name != "" && strings.Trim(name, "0123456789") == "":
		return pgtype.Int8OID
	default:
		return pgtype.TextOID
	}
}
