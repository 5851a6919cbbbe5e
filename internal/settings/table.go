package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	keyGatewayAddress = "gateway-address"
	keyWireAddress    = "wire-address"
	keyAdminAddress   = "admin-address"
)

// entry describes one setting.
type entry[S any] struct {
	key          string
	defaultValue string
	help         string
	// apply parses the value and stores it in settings.
	apply func(settings *S, text string) error
}

var table = []entry[Settings]{
	{"name", "", "name of this node, unique among the live nodes (default: the wire address)", func(s *Settings, text string) error {
		if text == "" {
			return nil
		}
		return parseLabel(&s.Name, text)
	}},
	{"cluster", "driftstage", "name of the cluster; nodes of other clusters are ignored", func(s *Settings, text string) error {
		return parseLabel(&s.Cluster, text)
	}},
	{"zone", "", "zone of this machine (required)", func(s *Settings, text string) error {
		return parseLabel(&s.Zone, text)
	}},
	{"region", "", "region of this machine (required)", func(s *Settings, text string) error {
		return parseLabel(&s.Region, text)
	}},
	{keyGatewayAddress, "127.0.0.1:7080", "IP:port for callers (HTTP)", func(s *Settings, text string) error {
		return parseListenAddress(&s.GatewayAddress, text)
	}},
	{keyWireAddress, "127.0.0.1:7081", "IP:port for other nodes (TCP)", func(s *Settings, text string) error {
		return parseListenAddress(&s.WireAddress, text)
	}},
	{"gossip-address", "127.0.0.1:7081", "IP:port of the membership protocol (UDP)", func(s *Settings, text string) error {
		return parseListenAddress(&s.GossipAddress, text)
	}},
	{keyAdminAddress, "127.0.0.1:7082", "IP:port of metrics, health and state (HTTP)", func(s *Settings, text string) error {
		return parseListenAddress(&s.AdminAddress, text)
	}},
	{"platform-address", "", "IP:port of the platform's Object API and machine list (required)", func(s *Settings, text string) error {
		return parseRemoteAddress(&s.PlatformAddress, text)
	}},
	{"join", "", "gossip addresses (IP:port, comma-separated) of nodes to join", func(s *Settings, text string) error {
		return parseAddresses(&s.Join, text)
	}},
	{"maximum-body-bytes", "1048576", "largest request body of any service, 1 to 8388608", func(s *Settings, text string) error {
		return parseInt(&s.MaximumBodyBytes, text, 1, 8<<20)
	}},
	{"maximum-connections", "16384", "maximum number of connections of callers, 1 to 1000000", func(s *Settings, text string) error {
		return parseInt(&s.MaximumConnections, text, 1, 1_000_000)
	}},
	{"drain-delay", "2s", "how long a stopping node rejects new requests before its listeners close, 0s to 1m", func(s *Settings, text string) error {
		return parseDuration(&s.DrainDelay, text, 0, time.Minute)
	}},
	{"stop-timeout", "30s", "how long a stopping node waits for requests in flight, 1s to 10m", func(s *Settings, text string) error {
		return parseDuration(&s.StopTimeout, text, time.Second, 10*time.Minute)
	}},
	{"log-verbosity", "0", "log verbosity, 0 to 4", func(s *Settings, text string) error {
		return parseInt(&s.LogVerbosity, text, 0, 4)
	}},
}

var labelPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.:_-]{0,61}[A-Za-z0-9])?$`)

func parseLabel(field *string, text string) error {
	if !labelPattern.MatchString(text) {
		return errors.New("want 1 to 63 letters, digits, '.', ':', '_' or '-', a letter or digit at both ends")
	}
	*field = text
	return nil
}

func parseListenAddress(field *string, text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.New("want IP:port, such as 127.0.0.1:7080")
	}
	*field = text
	return nil
}

// parseRemoteAddress parses an address to connect to, so port 0 is rejected.
func parseRemoteAddress(field *string, text string) error {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || parsed.Port() == 0 {
		return errors.New("want IP:port with a port other than 0, such as 127.0.0.1:7070")
	}
	*field = text
	return nil
}

func parseAddresses(field *[]string, text string) error {
	if text == "" {
		return nil
	}
	for part := range strings.SplitSeq(text, ",") {
		var parsed string
		if err := parseRemoteAddress(&parsed, strings.TrimSpace(part)); err != nil {
			return fmt.Errorf("%q: %w", strings.TrimSpace(part), err)
		}
		*field = append(*field, parsed)
	}
	return nil
}

func parseInt(field *int, text string, low, high int) error {
	parsed, err := strconv.Atoi(text)
	if err != nil || parsed < low || parsed > high {
		return fmt.Errorf("want a whole number from %d to %d", low, high)
	}
	*field = parsed
	return nil
}

func parseBool(field *bool, text string) error {
	switch text {
	case "true", "false":
		*field = text == "true"
		return nil
	}
	return errors.New("want true or false")
}

func parseDuration(field *time.Duration, text string, low, high time.Duration) error {
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < low || parsed > high {
		return fmt.Errorf("want a duration from %v to %v, such as 250ms", low, high)
	}
	*field = parsed
	return nil
}
