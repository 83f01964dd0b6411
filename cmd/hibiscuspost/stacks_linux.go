package main

/*
#define _GNU_SOURCE
#include <pthread.h>

// The system's default, often 8 MiB a thread, counts toward limits on mapped memory. Goroutines
// have stacks of their own; those of threads hold only the runtime's and C code's frames.
static const size_t thread_stack_bytes = 256 << 10;

__attribute__((constructor)) static void limit_thread_stacks(void) {
	pthread_attr_t attributes;
	if (pthread_attr_init(&attributes) != 0) {
		return;
	}
	if (pthread_attr_setstacksize(&attributes, thread_stack_bytes) == 0) {
		pthread_setattr_default_np(&attributes);
	}
	pthread_attr_destroy(&attributes);
}
*/
import "C"
