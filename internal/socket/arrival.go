package socket

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// SinceLastReceived returns how long ago the kernel received the latest bytes of a connection, whether or not they have been read. It returns 0 if
// c has no socket that can tell.
func SinceLastReceived(c net.Conn) (since time.Duration) {
	withDescriptor(c, func(descriptor int) {
		if info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}
