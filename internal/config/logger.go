package config

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync/atomic"
)

// Logger is a log whose format and level can be changed while it is in use: SIGHUP makes the relay read the operators'
// file again.
type Logger struct {
	writer  io.Writer
	current atomic.Pointer[slog.Handler]
}

// NewLogger returns a logger that writes to the writer, as configured by the section.
func NewLogger(writer io.Writer, section Log) *Logger {
	logger := &Logger{writer: writer}
	logger.Configure(section)
	return logger
}

// Configure makes all later records follow the section.
func (l *Logger) Configure(section Log) {
	options := &slog.HandlerOptions{Level: section.Level, AddSource: section.Source}
	var handler slog.Handler = slog.NewTextHandler(l.writer, options)
	if section.Format == FormatJSON {
		handler = slog.NewJSONHandler(l.writer, options)
	}
	l.current.Store(&handler)
}

// Slog returns a slog.Logger that writes to this log.
func (l *Logger) Slog() *slog.Logger { return slog.New(&currentHandler{logger: l}) }

// currentHandler is a slog.Handler that passes each record to the logger's current handler, with the attributes and
// groups that this handler was given.
type currentHandler struct {
	logger   *Logger
	wrappers []func(slog.Handler) slog.Handler // each adds attributes or a group, in the order of the calls
}

// resolve returns the logger's current handler with this handler's attributes and groups.
func (h *currentHandler) resolve() slog.Handler {
	resolved := *h.logger.current.Load()
	for _, wrap := range h.wrappers {
		resolved = wrap(resolved)
	}
	return resolved
}

// Enabled implements slog.Handler.
func (h *currentHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return (*h.logger.current.Load()).Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *currentHandler) Handle(ctx context.Context, record slog.Record) error {
	return h.resolve().Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *currentHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.with(func(handler slog.Handler) slog.Handler { return handler.WithAttrs(attrs) })
}

// WithGroup implements slog.Handler.
func (h *currentHandler) WithGroup(name string) slog.Handler {
	return h.with(func(handler slog.Handler) slog.Handler { return handler.WithGroup(name) })
}

// with returns a new handler with one more wrapper. The wrappers are copied, as several handlers may be derived from
// one.
func (h *currentHandler) with(wrap func(slog.Handler) slog.Handler) slog.Handler {
	wrappers := append(slices.Clip(h.wrappers), wrap)
	return &currentHandler{logger: h.logger, wrappers: wrappers}
}
