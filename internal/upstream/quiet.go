package upstream

import (
	"net"
	"syscall"
)

// isQuiet reports whether an idle connection is open and has nothing to read:
// anything there is either its end or an answer that no request asked for.
// Connections without a descriptor, as in tests, count as quiet.
func isQuiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && nothing
}
