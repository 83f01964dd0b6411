package main

// #include <signal.h>
// #include <string.h>
//
// // By default, SIGHUP ends a process that does not handle it yet. The constructor runs before the
// // runtime and the packages are initialized; platform.Command handles the signal later, and
// // command.Serve ignores it.
// #ifdef __GLIBC__ // which passes the arguments to constructors
// __attribute__((constructor)) static void ignore_hangup_of_instance(int argc, char **argv) {
// 	if (argc > 1 && (strcmp(argv[1], "node") == 0 || strcmp(argv[1], "serve") == 0))
// 		signal(SIGHUP, SIG_IGN);
// }
// #endif
import "C"
