package config

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
)

// Logger is a log whose form and level can be changed while it is in use: the file is read again on SIGHUP.
type Logger struct {
	to  io.Writer
	now atomic.Pointer[slog.Handler]
}

// NewLogger logs to the writer as the section says.
func NewLogger(to io.Writer, l Log) *Logger {
	g := &Logger{to: to}
	g.Configure(l)
	return g
}

// Configure has what is logged from now on follow the section.
func (g *Logger) Configure(l Log) {
	options := &slog.HandlerOptions{Level: l.Level, AddSource: l.Source}
	var h slog.Handler = slog.NewTextHandler(g.to, options)
	if l.Format == FormatJSON {
		h = slog.NewJSONHandler(g.to, options)
	}
	g.now.Store(&h)
}

// Slog is the log for those who write to it.
func (g *Logger) Slog() *slog.Logger { return slog.New(&handler{from: g}) }

// handler looks the present handler up at each record, and puts on it what it was given since it was made.
type handler struct {
	from *Logger
	with []func(slog.Handler) slog.Handler
}

func (h *handler) present() slog.Handler {
	p := *h.from.now.Load()
	for _, add := range h.with {
		p = add(p)
	}
	return p
}

func (h *handler) Enabled(ctx context.Context, l slog.Level) bool {
	return (*h.from.now.Load()).Enabled(ctx, l)
}

func (h *handler) Handle(ctx context.Context, r slog.Record) error { return h.present().Handle(ctx, r) }

func (h *handler) and(add func(slog.Handler) slog.Handler) slog.Handler {
	return &handler{h.from, append(h.with[:len(h.with):len(h.with)], add)}
}

func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.and(func(p slog.Handler) slog.Handler { return p.WithAttrs(attrs) })
}

func (h *handler) WithGroup(name string) slog.Handler {
	return h.and(func(p slog.Handler) slog.Handler { return p.WithGroup(name) })
}
