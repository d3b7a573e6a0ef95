package bywire

import "syscall"

// errRefused is the system's error for a refused connection.
var errRefused error = syscall.ECONNREFUSED
