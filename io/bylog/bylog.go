// Package bylog makes the structured logs: one JSON line each, a short sentence
// with a fixed prefix for the part that says it.
//
// # Usage
//
//	log := bylog.New(os.Stderr, "info", "n1")
//	orders := bylog.Part(log, bylog.Orders)
//	orders.Info().Str("engine", "q1").Msg("orders: engine reached its state")
package bylog

import (
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
)

// The parts of a node, which are also the prefixes of their sentences.
const (
	Node     = "node"
	Calls    = "calls"
	Leases   = "leases"
	Orders   = "orders"
	Manifest = "manifest"
	Members  = "members"
	Config   = "config"
	Fleet    = "fleet"
)

// Logger writes the sentences of one part.
type Logger struct {
	z         zerolog.Logger
	component string
}

// timeFormat has milliseconds, so that lines of several nodes can be put in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// zerolog keeps the format for the whole process, and reads it without a lock.
func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns the root logger of a node.
func New(w io.Writer, level, node string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("node", node).Logger()
}

// Part returns the logger of one part.
func Part(z zerolog.Logger, component string) Logger { return Logger{z: z, component: component} }

// Field adds to a line.
type Field func(*zerolog.Event)

// Str adds a text.
func Str(name, value string) Field {
	return func(e *zerolog.Event) { e.Str(name, value) }
}

// Int adds a number.
func Int(name string, value int) Field {
	return func(e *zerolog.Event) { e.Int(name, value) }
}

// Millis adds a time in milliseconds.
func Millis(name string, d time.Duration) Field {
	return func(e *zerolog.Event) { e.Float64(name, float64(d.Microseconds())/1e3) }
}

// Err adds an error, with the one that caused it.
func Err(err error) Field {
	return func(e *zerolog.Event) {
		if cause := merry.Cause(err); cause != nil {
			e.Str("error", err.Error()+": "+cause.Error())
			return
		}
		e.AnErr("error", err)
	}
}

// Debug says something that only a developer wants to know.
func (l Logger) Debug(message string, fields ...Field) { l.write(l.z.Debug(), message, fields) }

// Info says something that an operator wants to know.
func (l Logger) Info(message string, fields ...Field) { l.write(l.z.Info(), message, fields) }

// Warn says something that an operator may have to act on.
func (l Logger) Warn(message string, fields ...Field) { l.write(l.z.Warn(), message, fields) }

func (l Logger) write(e *zerolog.Event, message string, fields []Field) {
	for _, f := range fields {
		f(e)
	}
	e.Msg(l.component + ": " + message)
}
