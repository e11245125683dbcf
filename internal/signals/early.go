//go:build cgo

package signals

/*
#include <signal.h>
#include <string.h>

// The Go runtime ends a process at SIGHUP until the program asks for the signal, which is some
// milliseconds after the process has begun. This runs before the runtime starts, which respects
// that the signal is ignored. The settings are read later, so that a signal that is ignored until then
// tells nothing new.
__attribute__((constructor)) static void ignore_early_hangup(int argc, char **argv) {
	static const char *const serving[] = {"gateway", "router", "agent"};
	size_t i;
	for (i = 0; argc > 1 && i < sizeof serving / sizeof serving[0]; i++) {
		if (strcmp(argv[1], serving[i]) == 0) {
			signal(SIGHUP, SIG_IGN);
		}
	}
}
*/
import "C"
