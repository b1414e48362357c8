package fleet

import (
	"context"
	"sync"
)

// taskGroup runs goroutines. Each gets a context that cancel ends, and must return soon after that.
type taskGroup struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running *sync.WaitGroup
}

func newTaskGroup() taskGroup {
	ctx, cancel := context.WithCancel(context.Background())
	return taskGroup{ctx: ctx, cancel: cancel, running: &sync.WaitGroup{}}
}

// start runs a task in a goroutine of its own.
func (g *taskGroup) start(task func(context.Context)) {
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		task(g.ctx)
	}()
}

// wait returns once all tasks have returned. Meanwhile only running tasks may start further ones.
func (g *taskGroup) wait() { g.running.Wait() }
