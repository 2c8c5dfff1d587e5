package main

/*
#include <signal.h>

// The platform sends SIGHUP when the settings change, possibly while the process is
// starting. This constructor runs before the Go runtime, whose default action would end
// the process on a SIGHUP that arrives before signal.Notify is called. signal.Notify
// enables the delivery of SIGHUP again.
__attribute__((constructor)) static void ignoreHangups(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
