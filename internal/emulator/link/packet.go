package link

import (
	"net"
	"time"
)

// packetConn delays, loses and duplicates the packets that it sends.
type packetConn struct {
	net.PacketConn
	links  *Links
	from   Point
	locate func(net.Addr) Point
}

// PacketConn wraps a socket at one point to send packets over the links; locate maps an address
// to its point. Only sending is affected: for both directions, wrap both sockets.
func (l *Links) PacketConn(c net.PacketConn, from Point, locate func(net.Addr) Point) net.PacketConn {
	return &packetConn{PacketConn: c, links: l, from: from, locate: locate}
}

// WriteTo sends b. It returns no error if the packet is lost.
func (c *packetConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	p := c.links.path(c.from, c.locate(addr))
	f, _ := p.state()
	if f.Partition || f.Refuse || c.links.chance(f.Loss) {
		return len(b), nil
	}
	c.sendAfter(append([]byte(nil), b...), addr, p.oneWay(f))
	if c.links.chance(f.Duplicate) {
		c.sendAfter(append([]byte(nil), b...), addr, p.oneWay(f))
	}
	return len(b), nil
}

// sendAfter writes b after a delay. The packet is lost if the socket is closed meanwhile.
func (c *packetConn) sendAfter(b []byte, addr net.Addr, d time.Duration) {
	if d == 0 {
		_, _ = c.PacketConn.WriteTo(b, addr)
		return
	}
	c.links.clock.AfterFunc(time.Now().Add(d), func() { _, _ = c.PacketConn.WriteTo(b, addr) })
}
