#include <signal.h>
#include <stddef.h>

static int was_default;

/*
 * Ignores SIGHUP before the Go runtime starts. Until a program handles the signal, the signal ends it, and a busy machine
 * takes long to get that far. The runtime leaves an ignored signal ignored until signal.Notify; a signal that is lost in
 * between announces settings that the program has not read yet. The time that the kernel and the dynamic loader take
 * before is left to whoever starts the program.
 */
__attribute__((constructor)) static void ignore_hangup(void)
{
	struct sigaction inherited;

	if (sigaction(SIGHUP, NULL, &inherited) != 0 || inherited.sa_handler != SIG_DFL) {
		return;
	}
	was_default = 1;
	signal(SIGHUP, SIG_IGN);
}

void cherrykeel_restore_hangup(void)
{
	if (was_default) {
		signal(SIGHUP, SIG_DFL);
	}
}
