// Package jsonscan splits JSON text into the raw parts of its top level. It needs no recursion and
// time linear in the length of the text, whatever the depth. It also splits text in which some parts
// are not JSON.
package jsonscan

import "strings"

// Member is a member of an object.
type Member struct {
	// Key is the raw text between the quotes.
	Key, Value []byte
	// Offset is the position of the value.
	Offset int
}

// Members calls visit for each member at the top level of the object in raw, in order. It returns
// false if raw is not one object with balanced brackets and quotes. Members before the fault are
// complete. A value without its closing bracket or quote extends to the end of raw.
func Members(raw []byte, visit func(Member)) bool {
	pos := skipSpace(raw, 0)
	if pos == len(raw) || raw[pos] != '{' {
		return false
	}
	pos = skipSpace(raw, pos+1)
	if pos < len(raw) && raw[pos] == '}' {
		return skipSpace(raw, pos+1) == len(raw)
	}
	for {
		key, begin, ok := keyAt(raw, pos)
		if !ok {
			return false
		}
		end, balanced := valueEnd(raw, begin)
		if end > begin {
			visit(Member{Key: key, Value: raw[begin:end], Offset: begin})
		}
		pos = skipSpace(raw, end)
		switch {
		case !balanced || pos == len(raw):
			return false
		case raw[pos] == '}':
			return skipSpace(raw, pos+1) == len(raw)
		case raw[pos] != ',':
			return false
		}
		pos = skipSpace(raw, pos+1)
	}
}

// keyAt returns the key at pos without its quotes, and the position of its value.
func keyAt(raw []byte, pos int) (key []byte, value int, ok bool) {
	if pos == len(raw) || raw[pos] != '"' {
		return nil, 0, false
	}
	end, closed := stringEnd(raw, pos)
	colon := skipSpace(raw, end)
	if !closed || colon == len(raw) || raw[colon] != ':' {
		return nil, 0, false
	}
	return raw[pos+1 : end-1], skipSpace(raw, colon+1), true
}

// punctuation holds the bytes that end a number or a literal.
const punctuation = `,:"{}[]`

// valueEnd returns the position after the value at pos. It returns false if the value is missing or
// its brackets are not balanced.
func valueEnd(raw []byte, pos int) (end int, ok bool) {
	if pos == len(raw) {
		return pos, false
	}
	switch raw[pos] {
	case '"':
		return stringEnd(raw, pos)
	case '{', '[':
		return containerEnd(raw, pos)
	}
	end = pos
	for end < len(raw) && !isSpace(raw[end]) && strings.IndexByte(punctuation, raw[end]) < 0 {
		end++
	}
	return end, end > pos
}

// containerEnd returns the position after the object or array at pos.
func containerEnd(raw []byte, pos int) (end int, ok bool) {
	var closers []byte
	for pos < len(raw) {
		switch c := raw[pos]; c {
		case '"':
			end, closed := stringEnd(raw, pos)
			if !closed {
				return len(raw), false
			}
			pos = end - 1
		case '{', '[':
			closers = append(closers, closerOf(c))
		case '}', ']':
			last := len(closers) - 1
			if closers[last] != c {
				return len(raw), false
			}
			if closers = closers[:last]; last == 0 {
				return pos + 1, true
			}
		}
		pos++
	}
	return len(raw), false
}

func closerOf(opener byte) byte {
	if opener == '{' {
		return '}'
	}
	return ']'
}

// stringEnd returns the position after the string that begins at pos.
func stringEnd(raw []byte, pos int) (end int, closed bool) {
	for pos++; pos < len(raw); pos++ {
		switch raw[pos] {
		case '\\':
			pos++
		case '"':
			return pos + 1, true
		}
	}
	return len(raw), false
}

func skipSpace(raw []byte, pos int) int {
	for pos < len(raw) && isSpace(raw[pos]) {
		pos++
	}
	return pos
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// Tail returns the members that follow an array at the end of an object, from the array's closing
// bracket on. It returns false if one of them is an object or array, or raw is no such text.
func Tail(raw []byte) (members map[string][]byte, ok bool) {
	if len(raw) == 0 || raw[0] != ']' {
		return nil, false
	}
	pos := skipSpace(raw, 1)
	if pos == len(raw) {
		return nil, false
	}
	object := []byte{'{'}
	if raw[pos] == ',' {
		pos++
	}
	object = append(object, raw[pos:]...)
	members, scalar := map[string][]byte{}, true
	ok = Members(object, func(m Member) {
		scalar = scalar && m.Value[0] != '{' && m.Value[0] != '['
		members[string(m.Key)] = m.Value
	})
	return members, ok && scalar
}
