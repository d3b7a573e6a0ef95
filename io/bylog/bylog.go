// Package bylog writes the structured logs of a node, one JSON object per line.
// Each message starts with the name of the component that logs it and a colon.
//
// # Usage
//
//	log := bylog.New(os.Stderr, "info", "n1")
//	orders := bylog.ForComponent(log, bylog.Orders)
//	orders.Info("engine reached its state", bylog.Str("engine", "q1"))
package bylog

import (
	"io"
	"math"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
)

// The components of a node. Their names are the prefixes of their messages.
const (
	Node     = "node"
	Calls    = "calls"
	Leases   = "leases"
	Orders   = "orders"
	Manifest = "manifest"
	Members  = "members"
	Duties   = "duties"
	Config   = "config"
	Fleet    = "fleet"
)

// Logger writes the messages of one component. It is safe for concurrent use if
// the writer passed to New is.
type Logger struct {
	z         zerolog.Logger
	component string
}

// timeFormat includes milliseconds so that lines of several nodes can be sorted by
// time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// zerolog keeps the time format in a global variable that it reads without a lock,
// so it is set before any logger exists.
func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns the root logger of a node, which adds the time and the node name to
// each line. An unknown level means "info".
func New(w io.Writer, level, node string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("node", node).Logger()
}

// ForComponent returns the logger of one component, which writes to z.
func ForComponent(z zerolog.Logger, component string) Logger {
	return Logger{z: z, component: component}
}

// Field adds one field to a log line.
type Field func(*zerolog.Event)

// Str returns a field with a string value.
func Str(name, value string) Field {
	return func(e *zerolog.Event) { e.Str(name, value) }
}

// Int returns a field with an integer value.
func Int(name string, value int) Field {
	return func(e *zerolog.Event) { e.Int(name, value) }
}

// Bool returns a field with a boolean value.
func Bool(name string, value bool) Field {
	return func(e *zerolog.Event) { e.Bool(name, value) }
}

// Float returns a field with a floating-point value, to three decimal places.
func Float(name string, value float64) Field {
	return func(e *zerolog.Event) { e.Float64(name, math.Round(value*1e3)/1e3) }
}

// Millis returns a field with a duration in milliseconds, to the microsecond.
func Millis(name string, d time.Duration) Field {
	return func(e *zerolog.Event) { e.Float64(name, float64(d.Microseconds())/1e3) }
}

// Err returns the field "error" with the text of err and, if merry knows one, of
// its cause.
func Err(err error) Field {
	return func(e *zerolog.Event) {
		if cause := merry.Cause(err); cause != nil {
			e.Str("error", err.Error()+": "+cause.Error())
			return
		}
		e.AnErr("error", err)
	}
}

// Debug logs a message for developers.
func (l Logger) Debug(message string, fields ...Field) { l.write(l.z.Debug(), message, fields) }

// Info logs a message for operators.
func (l Logger) Info(message string, fields ...Field) { l.write(l.z.Info(), message, fields) }

// Warn logs a message that an operator may have to act on.
func (l Logger) Warn(message string, fields ...Field) { l.write(l.z.Warn(), message, fields) }

func (l Logger) write(e *zerolog.Event, message string, fields []Field) {
	for _, f := range fields {
		f(e)
	}
	e.Msg(l.component + ": " + message)
}
