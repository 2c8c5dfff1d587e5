package main

/*
#include <signal.h>

// The platform sends a hang-up when the settings change, also in the moment of a
// start. This runs before the Go runtime, which would end the process on one that
// nobody has asked for yet; signal.Notify takes hang-ups up again.
__attribute__((constructor)) static void ignoreHangups(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
