package config

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
)

// Logger is a log whose form and level can be changed while it is in use: the file is read again on SIGHUP.
type Logger struct {
	writer  io.Writer
	current atomic.Pointer[slog.Handler]
}

// NewLogger logs to the writer as the section says.
func NewLogger(to io.Writer, l Log) *Logger {
	g := &Logger{writer: to}
	g.Configure(l)
	return g
}

// Configure has what is logged from now on follow the section.
func (g *Logger) Configure(l Log) {
	options := &slog.HandlerOptions{Level: l.Level, AddSource: l.Source}
	var h slog.Handler = slog.NewTextHandler(g.writer, options)
	if l.Format == FormatJSON {
		h = slog.NewJSONHandler(g.writer, options)
	}
	g.current.Store(&h)
}

// Slog is the log for those who write to it.
func (g *Logger) Slog() *slog.Logger { return slog.New(&currentHandler{logger: g}) }

// currentHandler looks the present handler up at each record, and puts on it what it was given since it was made.
type currentHandler struct {
	logger   *Logger
	wrappers []func(slog.Handler) slog.Handler
}

func (h *currentHandler) resolve() slog.Handler {
	p := *h.logger.current.Load()
	for _, add := range h.wrappers {
		p = add(p)
	}
	return p
}

func (h *currentHandler) Enabled(ctx context.Context, l slog.Level) bool {
	return (*h.logger.current.Load()).Enabled(ctx, l)
}

func (h *currentHandler) Handle(ctx context.Context, r slog.Record) error {
	return h.resolve().Handle(ctx, r)
}

func (h *currentHandler) with(add func(slog.Handler) slog.Handler) slog.Handler {
	return &currentHandler{h.logger, append(h.wrappers[:len(h.wrappers):len(h.wrappers)], add)}
}

func (h *currentHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.with(func(p slog.Handler) slog.Handler { return p.WithAttrs(attrs) })
}

func (h *currentHandler) WithGroup(name string) slog.Handler {
	return h.with(func(p slog.Handler) slog.Handler { return p.WithGroup(name) })
}
