package inbound

import "bytes"

// Estimated memory of a decoded head, for each byte, line and list item as it arrives. The handler keeps a
// second copy of the header, and a list of prompt parts is decoded into larger entries.
const (
	bytesPerHeadByte = 3
	bytesPerHeadLine = 200
	bytesPerHeadItem = 64
)

// size is how much of a head has arrived.
type size struct{ bytes, lines, items int }

// count returns the size of a part of a head.
func count(part []byte) size {
	return size{bytes: len(part), lines: bytes.Count(part, []byte{'\n'}), items: bytes.Count(part, []byte{','})}
}

func (s size) plus(other size) size {
	return size{s.bytes + other.bytes, s.lines + other.lines, s.items + other.items}
}

// memory returns the memory that a decoded head of this size takes, in bytes.
func (s size) memory() int64 {
	return bytesPerHeadByte*int64(s.bytes) + bytesPerHeadLine*int64(s.lines) + bytesPerHeadItem*int64(s.items)
}

// headScanner finds the end of a head.
type headScanner struct {
	// begun is set once a line has ended, lineBegun once the current line has a byte other than its end.
	begun, lineBegun bool
	ended            bool
}

// scan returns how many bytes of part belong to the head.
func (s *headScanner) scan(part []byte) int {
	for i := 0; i < len(part) && !s.ended; {
		end := bytes.IndexByte(part[i:], '\n')
		if end < 0 {
			s.lineBegun = s.lineBegun || !onlyReturns(part[i:])
			return len(part)
		}
		s.lineBegun = s.lineBegun || !onlyReturns(part[i:i+end])
		i += end + 1
		if !s.lineBegun && s.begun {
			s.ended = true
			return i
		}
		s.begun, s.lineBegun = true, false
	}
	if s.ended {
		return 0
	}
	return len(part)
}

func onlyReturns(part []byte) bool { return len(bytes.Trim(part, "\r")) == 0 }
