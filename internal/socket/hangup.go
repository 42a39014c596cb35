package socket

import (
	"net"

	"golang.org/x/sys/unix"
)

// AwaitHangup waits until the peer of a connection has closed or reset it, or has closed its sending side, whatever is unread. It returns nil
// then, and otherwise the error that ended the wait: the read deadline, the close of the connection, or errors.ErrUnsupported if c has no
// socket. It reads nothing, but no other goroutine can read from the connection while it waits.
func AwaitHangup(c net.Conn) error {
	raw, err := rawConn(c)
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool { return hungUp(int(fd)) })
}

// HungUp reports whether the peer of a connection has ended it or its sending side, as AwaitHangup does, without waiting.
func HungUp(c net.Conn) (ended bool) {
	withDescriptor(c, func(descriptor int) { ended = hungUp(descriptor) })
	return ended
}

// hungUp reports whether the peer has ended the connection or its sending side.
func hungUp(descriptor int) bool {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	events := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(events, 0)
	return err == nil && n > 0 && events[0].Revents&ended != 0
}
