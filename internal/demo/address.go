package demo

import (
	"net"
	"net/netip"
	"sync"

	"github.com/firlever/firlever/internal/emulator/link"
)

// firstHost returns the first address of a prefix that a host can have.
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

// directory maps addresses to points of the emulated network. It is safe for
// concurrent use.
type directory struct {
	mu      sync.Mutex
	points  map[string]link.Point // by IP:port; guarded by mu
	targets map[string]bool       // addresses of targets; guarded by mu
}

func newDirectory() *directory {
	return &directory{points: make(map[string]link.Point), targets: make(map[string]bool)}
}

// addTarget adds the address of a target.
func (d *directory) addTarget(address string, p link.Point) {
	d.add(address, p)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets[address] = true
}

func (d *directory) isTarget(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets[address]
}

func (d *directory) add(address string, p link.Point) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.points[address] = p
}

// locate returns the point of an address. An unknown address has the zero
// Point, which is far from all others.
func (d *directory) locate(address string) link.Point {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.points[address]
}

func (d *directory) locateAddr(a net.Addr) link.Point { return d.locate(a.String()) }
