package entry

import (
	"k8s.io/klog/v2"

	"github.com/cespare/xxhash/v2"

	"coltsfootpath.example/coltsfootpath/internal/state/control"
)

const permille = 1000

// pinnedVersion is the version chosen for a request, with the move and step under
// which it was chosen.
type pinnedVersion struct {
	name string
	move string
	step int
}

// pinVersion chooses the version for a key. During a move, a share of the keys
// is assigned to the new version, none if this node has locally blocked it.
func (n *Node) pinVersion(t target, key string) pinnedVersion {
	split := t.state.Split(t.service)
	if key == "" {
		key = newRandomKey()
	}
	if n.evidence.IsBlocked(split.Move) {
		split.SharePermille = 0
	}
	return pinnedVersion{name: versionFor(split, t.workspace.Name, key), move: split.Move, step: split.Step}
}

func newRandomKey() string {
	random := newRandom()
	return string([]byte{byte(random.Uint32()), byte(random.Uint32()), byte(random.Uint32()), byte(random.Uint32())})
}

// versionFor returns the version for a key. A key changes to the new version when
// the share exceeds its hash, and stays there while the share rises. The hash
// covers the workspace and the key, so that each workspace has the same share of
// its keys on the new version. It also covers the move, so that each move starts
// with different keys.
func versionFor(split control.Split, workspace, key string) string {
	if split.NewVersion == "" {
		return split.ServingVersion
	}
	if int(xxhash.Sum64String(split.Move+"\x00"+workspace+"\x00"+key)%permille) < split.SharePermille {
		return split.NewVersion
	}
	return split.ServingVersion
}

// switchFromWithdrawn moves a request that has no tokens yet from a withdrawn version
// to the serving one. A request with tokens stays on its version.
func (r *requestRun) switchFromWithdrawn() {
	if r.move == "" {
		return
	}
	state := r.node.control.State()
	service, ok := state.Document.Service(r.req.Service)
	if !ok {
		return
	}
	serving := state.ServingVersion(service)
	version := r.req.AnsweringVersion()
	if version == serving || !r.node.versionWithdrawn(state, r.move, version) {
		return
	}
	to, ok := service.Version(serving)
	if !ok || !r.req.SwitchVersion(serving) {
		return
	}
	klog.V(1).Infof("entry: request moved off a withdrawn version key=%s from=%s to=%s", r.req.ID.Key, version, serving)
	r.model = to.Model
}

// versionWithdrawn reports whether version is the new version of a move and
// gets no more traffic on this node: the move is rolled back or halted, or the
// version is locally blocked.
func (n *Node) versionWithdrawn(state *control.State, move, version string) bool {
	m, ok := state.Moves[move]
	if !ok || m.Definition.To != version {
		return false
	}
	rolledBack := m.FinalStatus != nil && m.FinalStatus.Result == control.MoveRolledBack
	return rolledBack || m.Halted() || n.evidence.IsBlocked(move)
}
