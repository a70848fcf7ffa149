package gateway

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/quarantine"
	"coltsfootpath.example/coltsfootpath/internal/protocol/digest"
	"coltsfootpath.example/coltsfootpath/platform"
)

// maxSharedParts bounds the parts of one prompt about which evidence is kept. Of longer
// prompts, the first and the last of the shared parts count.
const maxSharedParts = 16

// sharedParts returns the parts that other requests to the service may share: all but the
// last one, which belongs to the request or its session.
func sharedParts(service string, parts []platform.Part) []quarantine.Part {
	if len(parts) < 2 {
		return nil
	}
	parts = parts[:len(parts)-1]
	if len(parts) > maxSharedParts {
		parts = slices.Concat(parts[:maxSharedParts/2], parts[len(parts)-maxSharedParts/2:])
	}
	shared := make([]quarantine.Part, 0, len(parts))
	for _, p := range parts {
		part := quarantine.Part{Hash: partHash(service, p.Name), Name: p.Name[:min(len(p.Name), quarantine.MaxName)]}
		if p.Name != "" && !slices.Contains(shared, part) {
			shared = append(shared, part)
		}
	}
	return shared
}

// partHash identifies a part among those of one service, whatever else a prompt holds.
func partHash(service, name string) uint64 {
	h := xxhash.New()
	for _, s := range []string{"part", service, name} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// partNames formats parts for log lines.
func partNames(parts []quarantine.Part) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = p.Name
	}
	return strings.Join(names, ",")
}

// partKey returns the key of a part in the store.
func partKey(part quarantine.Part) string {
	return digest.UnitKey(&quarantine.Entry{Content: part.Hash, Dimension: quarantine.PromptPart})
}
