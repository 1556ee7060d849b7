package edge

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// shedPause is how long connections gather before they are closed together. Their
// callers notice no difference, and the router wakes up less often.
const shedPause = 3 * time.Millisecond

// sheds says whether a new connection is to be closed unread. To read a request
// only to refuse it takes a good part of what relaying one does, and the streams
// that were admitted would wait behind it.
func (p *pressure) sheds() bool {
	if !p.budget.Known() || !p.full() && p.budget.Accept(p.now()) {
		return false
	}
	p.shed()
	return true
}

// shed counts a connection that is closed unread.
func (p *pressure) shed() {
	p.work.Shed()
	p.budget.Shed(p.now())
}

// room says whether a new connection would be taken on.
func (p *pressure) room() bool {
	return !p.budget.Known() || !p.full() && p.budget.Room(p.now())
}

// shedder closes connections whose requests the router has no room for. Their
// callers know at once that nothing was taken, and reach another router.
type shedder struct {
	*net.TCPListener
	pressure *pressure
}

// Accept implements net.Listener.
func (s shedder) Accept() (net.Conn, error) {
	for {
		for !s.pressure.room() && s.turnAway() {
			time.Sleep(shedPause)
		}
		conn, err := s.TCPListener.Accept()
		if err != nil || !s.pressure.sheds() {
			return conn, err
		}
		_ = conn.Close()
	}
}

// turnAway closes the connections that wait, until there are none or there is room
// for one, and says whether the listener is still open. It does without a net.Conn
// for each, which would take three times as many system calls.
func (s shedder) turnAway() (open bool) {
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(listener uintptr) {
		for !s.pressure.room() {
			conn, _, err := unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			s.pressure.shed()
			_ = unix.Close(conn)
		}
	})
	return err == nil
}
