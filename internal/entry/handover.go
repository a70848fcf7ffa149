package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/registry"
	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
)

const (
	handoverTimeout = 750 * time.Millisecond
	handoverRetry   = 50 * time.Millisecond
	// maxHandoverRequests and maxHandoverBytes bound one message. The last
	// request of a batch may exceed maxHandoverBytes.
	maxHandoverRequests = 64
	maxHandoverBytes    = 1 << 20
)

// successors returns the entry VMs that may take over requests from this node:
// those in availability zones without leaving entry VMs, or, if there are none,
// all that are not leaving.
func (n *Node) successors() []requests.Owner {
	leavingZones := map[string]bool{}
	for _, vm := range *n.entryVMs.Load() {
		if vm.Leaving {
			leavingZones[vm.AvailabilityZone] = true
		}
	}
	var preferred, fallback []requests.Owner
	for _, o := range n.stayingEntryVMs() {
		switch {
		case o.VM == n.settings.VM:
		case leavingZones[o.AvailabilityZone]:
			fallback = append(fallback, o)
		default:
			preferred = append(preferred, o)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return fallback
}

// watchReclaimNotice hands over this node's requests once it is under a reclaim
// notice. It repeats the handover every VMListInterval for requests that are
// still on this node.
func (n *Node) watchReclaimNotice(ctx context.Context) {
	for ctx.Err() == nil {
		if n.hasReclaimNotice() {
			if !n.underReclaimNotice.Swap(true) {
				klog.Infof("entry: reclaim notice vm=%s open=%d", n.settings.VM, n.requests.OpenCount())
			}
			n.handOverAll(ctx)
		}
		select {
		case <-n.clock.After(n.settings.VMListInterval):
		case <-ctx.Done():
		}
	}
}

// hasReclaimNotice reports whether the cloud lists this VM as under a reclaim
// notice. Draining is not included: Drain runs its own handover.
func (n *Node) hasReclaimNotice() bool {
	return slices.ContainsFunc(*n.listed.Load(), func(vm fleet.VM) bool { return vm.ID == n.settings.VM && vm.Leaving })
}

// handOverAll hands this node's requests over to other entry VMs: first the
// open ones, then the finished answers that are kept for caller retries.
func (n *Node) handOverAll(ctx context.Context) {
	open, finished := n.ownRequests()
	n.handOverInBatches(ctx, open, n.handOverOpen)
	n.handOverInBatches(ctx, finished, n.handOverFinished)
}

// ownRequests returns the keyed requests that this node owns: the open ones and
// the complete answers that have not been handed over.
func (n *Node) ownRequests() (open, finished []*requests.Request) {
	for _, req := range n.requests.All() {
		_, end := req.Snapshot()
		switch {
		case !req.Keyed || req.CopiedFrom() != nil:
		case end == nil:
			open = append(open, req)
		case end.Failure == nil && end.MovedTo == nil && !req.HandedOver():
			finished = append(finished, req)
		}
	}
	return open, finished
}

// handOverInBatches sends requests in bounded batches, each request to the
// successor that the hash of its id selects. A successor whose call fails gets
// no further batches, and its requests go to the others.
func (n *Node) handOverInBatches(ctx context.Context, list []*requests.Request, send func(context.Context, requests.Owner, []*requests.Request) error) {
	successors := n.successors()
	for len(list) > 0 && len(successors) > 0 && ctx.Err() == nil {
		successor := successors[registry.Choose(registry.Hash(list[0].ID), vmNames(successors))]
		var batch, rest []*requests.Request
		size := 0
		for _, req := range list {
			same := registry.Choose(registry.Hash(req.ID), vmNames(successors)) == slices.Index(successors, successor)
			if same && len(batch) < maxHandoverRequests && size < maxHandoverBytes {
				batch = append(batch, req)
				size += estimatedBytes(req)
				continue
			}
			rest = append(rest, req)
		}
		if err := send(ctx, successor, batch); err != nil {
			klog.Infof("entry: handover failed to=%s requests=%d err=%q", successor.VM, len(batch), err)
			successors = slices.DeleteFunc(successors, func(o requests.Owner) bool { return o == successor })
			continue
		}
		list = rest
	}
}

// estimatedBytes returns the approximate size of a request in a handover
// message.
func estimatedBytes(req *requests.Request) int {
	const perToken = 8
	tokens, _ := req.Snapshot()
	return len(req.Prompt) + perToken*len(tokens)
}

// handOverOpen suspends the requests, sends them with their tokens, and ends on
// this node those that the successor has accepted. The others continue here.
func (n *Node) handOverOpen(ctx context.Context, successor requests.Owner, batch []*requests.Request) error {
	resume := make(chan struct{})
	defer close(resume)
	for _, req := range batch {
		n.suspendRun(ctx, req, resume)
	}
	accepted, err := n.sendHandOver(ctx, successor, batch, func(req *requests.Request) *peerapi.OpenRequest {
		return n.openRequestOf(req, 1)
	})
	if err != nil {
		return err
	}
	for _, req := range batch {
		if accepted[req.ID] {
			to := successor
			req.Finish(requests.End{MovedTo: &to}, n.clock.Now())
		}
	}
	n.metrics.handedOverRequests.Add(float64(len(accepted)))
	klog.Infof("entry: handed over to=%s requests=%d accepted=%d", successor.VM, len(batch), len(accepted))
	return nil
}

// handOverFinished sends finished requests with their answers and marks the
// accepted ones as handed over.
func (n *Node) handOverFinished(ctx context.Context, successor requests.Owner, batch []*requests.Request) error {
	accepted, err := n.sendHandOver(ctx, successor, batch, func(req *requests.Request) *peerapi.OpenRequest {
		o := n.openRequestOf(req, 1)
		o.Done = true
		return o
	})
	for _, req := range batch {
		if accepted[req.ID] {
			req.MarkHandedOver()
		}
	}
	return err
}

// suspendRun makes the request's worker wait until resume is closed, and returns
// once the worker waits. It does not wait for a request that no worker has
// started, since such a request makes no progress.
func (n *Node) suspendRun(ctx context.Context, req *requests.Request, resume <-chan struct{}) {
	r := n.runs.find(req)
	if r == nil {
		return
	}
	reached := make(chan struct{})
	command := func(ctx context.Context) {
		close(reached)
		select {
		case <-resume:
		case <-ctx.Done():
		}
	}
	select {
	case r.commands <- command:
	case <-req.Done():
		return
	case <-ctx.Done():
		return
	}
	if !r.started.Load() {
		return
	}
	select {
	case <-reached:
	case <-req.Done():
	case <-ctx.Done():
	}
}

// sendHandOver sends a batch and returns the accepted requests. It retries once
// on error, which is safe because the receiver accepts a request only once.
func (n *Node) sendHandOver(ctx context.Context, successor requests.Owner, batch []*requests.Request, encode func(*requests.Request) *peerapi.OpenRequest) (map[requests.ID]bool, error) {
	in := &peerapi.HandOverRequest{FromVm: n.settings.VM}
	for _, req := range batch {
		in.Requests = append(in.Requests, encode(req))
	}
	reply, err := n.callHandOver(ctx, successor, in)
	if err != nil {
		reply, err = n.callHandOver(ctx, successor, in)
	}
	if err != nil {
		return nil, err
	}
	accepted := map[requests.ID]bool{}
	for _, id := range reply.GetAccepted() {
		accepted[splitID(id)] = true
	}
	return accepted, nil
}

// idSeparator separates workspace and key in a reply.
const idSeparator = "\x00"

func joinID(id requests.ID) string {
	return id.Workspace + idSeparator + id.Key
}

func splitID(s string) requests.ID {
	workspace, key, _ := strings.Cut(s, idSeparator)
	return requests.ID{Workspace: workspace, Key: key}
}

func (n *Node) callHandOver(ctx context.Context, successor requests.Owner, in *peerapi.HandOverRequest) (*peerapi.HandOverReply, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	return n.peerPool.Client(ctx, successor.PeerAddress).HandOver(ctx, in)
}

// openRequestOf encodes a request for a handover. attempts is 0 for a request
// that has not been admitted yet.
func (n *Node) openRequestOf(req *requests.Request, attempts uint32) *peerapi.OpenRequest {
	tokens, end := req.Snapshot()
	out := &peerapi.OpenRequest{
		Workspace:   req.ID.Workspace,
		Service:     req.Service,
		Route:       req.Route,
		Key:         req.ID.Key,
		Fingerprint: req.Fingerprint,
		Prompt:      req.Prompt,
		MaxTokens:   uint32(req.MaxTokens),
		DeadlineMs:  uint32(max(req.Deadline.Sub(n.clock.Now()), 0).Milliseconds()),
		Tokens:      tokens,
		Attempts:    attempts,
		Version:     req.AnsweringVersion(),
	}
	if end != nil {
		out.Recomputed = uint32(end.Recomputed)
	}
	return out
}

// delegate passes a new request from this leaving node to a successor and
// returns the successor, whose answer this node then copies. It returns nil if
// no successor accepts the request.
func (n *Node) delegate(ctx context.Context, req *requests.Request) *requests.Owner {
	successors := n.successors()
	if len(successors) == 0 {
		return nil
	}
	successor := successors[registry.Choose(registry.Hash(req.ID), vmNames(successors))]
	accepted, err := n.sendHandOver(ctx, successor, []*requests.Request{req}, func(req *requests.Request) *peerapi.OpenRequest {
		return n.openRequestOf(req, 0)
	})
	if err != nil || !accepted[req.ID] {
		return nil
	}
	return &successor
}

// HandOver takes requests over from a leaving entry VM. It accepts none if this
// node is leaving too.
func (p *peerServer) HandOver(_ context.Context, in *peerapi.HandOverRequest) (*peerapi.HandOverReply, error) {
	n := p.node
	reply := &peerapi.HandOverReply{}
	if n.isLeaving() {
		return reply, nil
	}
	var accepted []*requests.Request
	for _, o := range in.GetRequests() {
		req, ok := n.acceptHandedOver(o)
		if !ok {
			continue
		}
		reply.Accepted = append(reply.Accepted, joinID(req.ID))
		accepted = append(accepted, req)
	}
	n.runInBackground(func(ctx context.Context) {
		for _, req := range accepted {
			n.register(ctx, req, in.GetFromVm())
		}
	})
	return reply, nil
}

// acceptHandedOver takes over one request and reports whether this node now owns
// it.
func (n *Node) acceptHandedOver(o *peerapi.OpenRequest) (*requests.Request, bool) {
	t, ok := n.handOverTarget(o)
	if !ok {
		return nil, false
	}
	now := n.clock.Now()
	spec := requests.Spec{
		ID:          requests.ID{Workspace: o.GetWorkspace(), Key: o.GetKey()},
		Keyed:       true,
		Fingerprint: o.GetFingerprint(),
		Service:     o.GetService(),
		Route:       o.GetRoute(),
		Version:     o.GetVersion(),
		Prompt:      o.GetPrompt(),
		MaxTokens:   int(o.GetMaxTokens()),
		Deadline:    now.Add(time.Duration(o.GetDeadlineMs()) * time.Millisecond),
	}
	if o.GetDone() {
		return n.requests.AddFinished(spec, o.GetTokens(), requests.End{Recomputed: int(o.GetRecomputed())}, now), true
	}
	if o.GetAttempts() == 0 && n.admit(t, now) != nil {
		return nil, false
	}
	req, created, err := n.requests.Open(spec, o.GetTokens(), now)
	if err != nil {
		return nil, false
	}
	if !created {
		return n.acceptKnownRequest(t, req, spec, o.GetTokens(), now)
	}
	n.metrics.receivedRequests.Inc()
	n.resume(req, t)
	return req, true
}

// acceptKnownRequest takes over a request that this node already has, either
// because it copies the sender's answer or because it handed the request over
// earlier.
func (n *Node) acceptKnownRequest(t target, req *requests.Request, spec requests.Spec, tokens []string, now time.Time) (*requests.Request, bool) {
	_, end := req.Snapshot()
	switch {
	case end == nil && req.CopiedFrom() != nil:
		req.AppendMissing(tokens)
		return req, true
	case end == nil || end.MovedTo == nil:
		return req, true
	}
	reopened, err := n.requests.Reopen(req, spec, now)
	if err != nil || reopened == nil {
		return nil, false
	}
	reopened.AppendMissing(tokens)
	n.resume(reopened, t)
	return reopened, true
}

// handOverTarget resolves the workspace, service, version and route of a request
// that is handed over. It returns false if the document lacks one of them.
func (n *Node) handOverTarget(o *peerapi.OpenRequest) (target, bool) {
	t := target{state: n.control.State(), key: o.GetKey()}
	if t.state.Document == nil {
		return t, false
	}
	var known bool
	if t.workspace, known = t.state.Document.Workspace(o.GetWorkspace()); !known {
		return t, false
	}
	if t.service, known = t.state.Document.Service(o.GetService()); !known || t.service.Kind != document.ModelService {
		return t, false
	}
	if _, known = t.service.Version(o.GetVersion()); !known {
		return t, false
	}
	t.route, known = t.service.Route(o.GetRoute())
	return t, known
}

// redirectFollowers ends the requests that this node copies from other owners
// and redirects their callers to those owners.
func (n *Node) redirectFollowers() {
	for _, req := range n.requests.OpenRequests() {
		if owner := req.CopiedFrom(); owner != nil {
			req.Finish(requests.End{MovedTo: owner}, n.clock.Now())
		}
	}
}
