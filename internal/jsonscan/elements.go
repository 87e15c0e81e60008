package jsonscan

import "bytes"

// StartOf reports whether an element of an array begins with the key whose opening quote is at the
// given position. Elements with another first key are found where no element before them is broken.
type StartOf func(raw []byte, quote int) bool

// Elements splits the text between the brackets of an array. If an element is not JSON, the next one
// is found by its start: brackets and quotes that one element lacks or has too many hide no other
// element. No part of an element with balanced brackets is taken for another one. Parts of an element
// that is not JSON may be, if they begin like an element.
func Elements(raw []byte, starts StartOf) [][]byte {
	s := newSplitter(raw, starts)
	s.split()
	var elements [][]byte
	for _, e := range s.found {
		if text := bytes.TrimSpace(raw[e.begin:e.end]); len(text) > 0 {
			elements = append(elements, text)
		}
	}
	return elements
}

// span is a range of the text.
type span struct{ begin, end int }

// splitter is the state of Elements.
type splitter struct {
	raw    []byte
	starts StartOf
	found  []span
	// begin is the position of the current element.
	begin int
	// brackets are the open brackets within the current element, arrays is how many of them are
	// square.
	brackets []byte
	arrays   int
	// closed and open are the parts of the current element that begin like an element.
	closed []closedPart
	open   []openPart
	// noMember is a position that is known to begin no member.
	noMember int
	// last is the last byte outside of strings that is not blank.
	last byte
	// steps counts the bytes that were read.
	steps int
}

// closedPart is a part that begins like an element, in brackets that are still open.
type closedPart struct {
	span
	// depth is the number of brackets around it.
	depth int
}

// openPart is a part that begins like an element and has not ended. depth, arrays and objects count
// the open brackets around it.
type openPart struct{ depth, arrays, objects, begin int }

func newSplitter(raw []byte, starts StartOf) *splitter {
	return &splitter{raw: raw, starts: starts, noMember: -1}
}

func (s *splitter) split() {
	for pos := 0; pos < len(s.raw); {
		next := s.step(pos)
		s.steps += max(next-pos, 1)
		pos = next
	}
	if s.begin <= len(s.raw) {
		s.finish(len(s.raw), true)
	}
}

// step reads the token at pos and returns the position of the next one.
func (s *splitter) step(pos int) int {
	c := s.raw[pos]
	switch c {
	case '"':
		return s.readString(pos)
	case '{', '[':
		s.openBracket(pos)
	case '}', ']':
		s.closeBracket(pos)
	case ',':
		if len(s.brackets) == 0 {
			s.finish(pos, false)
			s.begin = pos + 1
		}
	}
	if !isSpace(c) {
		s.last = c
	}
	return pos + 1
}

// readString reads the string at pos. Where its closing quote is the first quote of an element, a
// quote is missing before: the current element ends there.
func (s *splitter) readString(pos int) int {
	s.last = '"'
	end, closed := stringEnd(s.raw, pos)
	if !closed {
		s.finish(len(s.raw), false)
		s.begin = len(s.raw) + 1
		return len(s.raw)
	}
	brace := lastNonSpace(s.raw, pos+1, end-1)
	comma := lastNonSpace(s.raw, pos+1, brace)
	if comma <= pos || s.raw[brace] != '{' || s.raw[comma] != ',' || !s.starts(s.raw, end-1) {
		return end
	}
	s.finish(comma, false)
	s.begin, s.last = brace, ','
	return brace
}

// lastNonSpace returns the position of the last byte in a range that is not blank, or one less than
// its begin.
func lastNonSpace(raw []byte, begin, end int) int {
	for end--; end >= begin && isSpace(raw[end]); end-- {
	}
	return max(end, begin-1)
}

func (s *splitter) openBracket(pos int) {
	c := s.raw[pos]
	depth := len(s.brackets)
	if c == '{' && depth > 0 && s.last == ',' {
		quote := skipSpace(s.raw, pos+1)
		if quote < len(s.raw) && s.raw[quote] == '"' && s.starts(s.raw, quote) {
			s.open = append(s.open, openPart{depth: depth, arrays: s.arrays, objects: depth - s.arrays, begin: pos})
		}
	}
	s.brackets = append(s.brackets, c)
	if c == '[' {
		s.arrays++
	}
}

// closeBracket closes the innermost bracket of the same kind, and those within it. A bracket that
// was not opened in the innermost open part is passed over, since it can't end other elements.
func (s *splitter) closeBracket(pos int) {
	var around openPart
	if len(s.open) > 0 {
		around = s.open[len(s.open)-1]
	}
	opener := byte('{')
	candidates := len(s.brackets) - s.arrays - around.objects
	if s.raw[pos] == ']' {
		opener, candidates = '[', s.arrays-around.arrays
	}
	if candidates == 0 {
		s.extendLast()
		return
	}
	for s.pop(pos+1) != opener {
	}
}

// extendLast adds the current text to the last element if it begins with a member: it is the rest of an
// element that has a bracket too many.
func (s *splitter) extendLast() {
	last := len(s.found) - 1
	if len(s.brackets) > 0 || last < 0 {
		return
	}
	s.begin = skipSpace(s.raw, s.begin)
	if s.begin == s.noMember {
		return
	}
	if _, _, ok := keyAt(s.raw, s.begin); !ok {
		s.noMember = s.begin
		return
	}
	s.begin = s.found[last].begin
	s.found = s.found[:last]
}

// pop removes the innermost open bracket, and what was found in it.
func (s *splitter) pop(end int) byte {
	depth := len(s.brackets) - 1
	c := s.brackets[depth]
	s.brackets = s.brackets[:depth]
	if c == '[' {
		s.arrays--
	}
	for n := len(s.closed); n > 0 && s.closed[n-1].depth > depth; n-- {
		s.closed = s.closed[:n-1]
	}
	if n := len(s.open); n > 0 && s.open[n-1].depth == depth {
		s.closed = append(s.closed, closedPart{span{s.open[n-1].begin, end}, depth})
		s.open = s.open[:n-1]
	}
	return c
}

// finish adds the current element, which ends at the given position, and those that its brackets
// wrongly enclose. atEnd is true at the end of the array.
func (s *splitter) finish(end int, atEnd bool) {
	first := len(s.found)
	s.found = append(s.found, span{s.begin, end})
	s.found = append(s.found, s.enclosed(end, atEnd)...)
	for i := first; i < len(s.found)-1; i++ {
		if next := s.found[i+1].begin; next < s.found[i].end {
			// The comma before the next element ends this one.
			s.found[i].end = lastNonSpace(s.raw, s.found[i].begin, next)
		}
	}
	s.brackets, s.arrays, s.closed, s.open = s.brackets[:0], 0, s.closed[:0], s.open[:0]
}

// enclosed returns the parts of the current element that are taken for elements: open ones and those
// beside them. At the end of the array they are also those beside which an element could follow.
func (s *splitter) enclosed(end int, atEnd bool) []span {
	var parts []span
	closed := s.closed
	for _, part := range s.open {
		for len(closed) > 0 && closed[0].begin < part.begin {
			if closed[0].depth == part.depth {
				parts = append(parts, closed[0].span)
			}
			closed = closed[1:]
		}
		parts = append(parts, span{part.begin, end})
	}
	for _, part := range closed {
		if atEnd && part.depth == len(s.brackets) {
			parts = append(parts, part.span)
		}
	}
	return parts
}
