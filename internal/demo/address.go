package demo

import (
	"net"
	"net/netip"
	"sync"

	"github.com/firlever/firlever/internal/emulator/link"
)

// firstHost is the first address of a prefix that a host can have.
func firstHost(prefix string) (string, error) {
	p, err := netip.ParsePrefix(prefix)
	if err != nil {
		return "", err
	}
	a := p.Masked().Addr()
	if p.Bits() < a.BitLen() {
		a = a.Next()
	}
	return a.String(), nil
}

// directory knows at which point of the network an address is. It is safe for
// concurrent use.
type directory struct {
	mu     sync.Mutex
	points map[string]link.Point // by IP:port
}

func newDirectory() *directory { return &directory{points: make(map[string]link.Point)} }

func (d *directory) add(address string, p link.Point) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.points[address] = p
}

// locate is where an address is; one that nobody knows is far from all.
func (d *directory) locate(address string) link.Point {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.points[address]
}

func (d *directory) locateAddr(a net.Addr) link.Point { return d.locate(a.String()) }
