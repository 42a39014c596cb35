package socket

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Times are what the kernel knows of the latest bytes of a connection. They are 0 without a socket that can tell.
type Times struct {
	SinceReceived time.Duration // since the latest bytes were received, whether or not they have been read
	SinceSent     time.Duration // since the latest bytes were sent
}

// ReadTimes returns the times of a connection.
func ReadTimes(c net.Conn) (times Times) {
	withDescriptor(c, func(descriptor int) {
		if info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			times.SinceReceived = time.Duration(info.Last_data_recv) * time.Millisecond
			times.SinceSent = time.Duration(info.Last_data_sent) * time.Millisecond
		}
	})
	return times
}
