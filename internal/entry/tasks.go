package entry

import (
	"context"
	"sync"
)

// tasks runs goroutines that may outlive the request that started them.
type tasks struct {
	mu     sync.Mutex
	closed bool
	group  sync.WaitGroup
}

// start runs f in a goroutine. After close, it doesn't run f and returns false.
func (t *tasks) start(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.group.Go(f)
	return true
}

// close prevents further tasks and waits for the running ones.
func (t *tasks) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.group.Wait()
}

// drain closes the tasks and waits until they end or ctx does.
func (t *tasks) drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		t.close()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runInBackground runs f in a task with a context that Close cancels. On a closed
// node it does nothing.
func (n *Node) runInBackground(f func(ctx context.Context)) {
	n.tasks.start(func() { f(n.ctx) })
}
