package bywire

import "syscall"

// errConnRefused is the operating system's error for a refused connection.
var errConnRefused error = syscall.ECONNREFUSED
