package operator

import (
	"fmt"
	"net"
	"net/netip"
	"os"
)

// Peers configures the state exchange between the agents of a fleet. It is off by default, because the platform forbids it. Changes take
// effect at the next start.
type Peers struct {
	Enabled     bool     `toml:"on"`
	Bind        string   `toml:"bind"`      // IP address and port for UDP and TCP
	Advertise   string   `toml:"advertise"` // IP address and port that peers connect to; empty uses Bind
	Seeds       []string `toml:"seeds"`     // addresses of some peers
	Label       string   `toml:"label"`     // of the fleet; traffic with another label is ignored
	KeyFile     string   `toml:"key_file"`  // key of 16, 24 or 32 bytes; empty disables encryption
	ShareFacts  bool     `toml:"facts"`     // about endpoints that fail, drain or are removed
	ShareBudget bool     `toml:"level"`     // one overload budget for the fleet; requires Overload.Enabled
}

// maxLabelBytes is the limit of memberlist.
const maxLabelBytes = 255

func (s *Peers) check(p *problems) {
	p.require(isAddrPort(s.Bind), "peers.bind", "%q is not an IP address with a port", s.Bind)
	p.require(s.Advertise == "" || isAddrPort(s.Advertise), "peers.advertise", "%q is not an IP address with a port", s.Advertise)
	for i, seed := range s.Seeds {
		_, _, err := net.SplitHostPort(seed)
		p.require(err == nil, fmt.Sprintf("peers.seeds[%d]", i), "%q is not a host with a port", seed)
	}
	p.require(len(s.Label) <= maxLabelBytes, "peers.label", "must hold at most %d bytes", maxLabelBytes)
	p.require(s.KeyFile == "" || isKeyFile(s.KeyFile), "peers.key_file", "%q is not a readable key file of 16, 24 or 32 bytes", s.KeyFile)
}

func isAddrPort(addr string) bool {
	_, err := netip.ParseAddrPort(addr)
	return err == nil
}

// isKeyFile reports whether a file exists and has the size of an AES key.
func isKeyFile(name string) bool {
	info, err := os.Stat(name)
	if err != nil {
		return false
	}
	size := info.Size()
	return size == 16 || size == 24 || size == 32
}
