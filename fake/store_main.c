/**
 * @file
 * Program: stand-in of the platform's object API and VM list.
 */
#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <apr_general.h>

#include "fake/fake.h"

const char *argp_program_version = "azurehold stand-in store";

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "address of the API", 0 },
	{ "control", 'c', "IP:PORT", 0, "address for /control/", 0 },
	{ "vm-lag-ms", 'v', "MS", 0,
	  "delay before a change of the VM list is visible (0)", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct fake_store_settings *s = state->input;
	char *end;

	switch (key) {
	case 'l':
		s->listen = arg;
		break;
	case 'c':
		s->control = arg;
		break;
	case 'v':
		s->vm_lag_us = strtol(arg, &end, 10) * US_PER_MS;
		if (end == arg || *end || s->vm_lag_us < 0)
			argp_error(state, "--vm-lag-ms: bad number '%s'", arg);
		break;
	case ARGP_KEY_END:
		if (!s->listen || !s->control)
			argp_error(state, "--listen and --control are needed");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp argp = {
	options, parse_option,
	NULL,	 "Stand-in of the platform's object API and VM list.",
	NULL,	 NULL,
	NULL
};

int main(int argc, char **argv)
{
	struct fake_store_settings settings = { 0 };
	struct timer_service *timers;
	struct fake_store *s;
	apr_pool_t *pool;
	sigset_t signals;
	int received;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	argp_parse(&argp, argc, argv, 0, NULL, &settings);
	log_set_source("store");
	/* Signals are blocked before any thread starts, so that only sigwait()
	 * gets them. */
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	timers = timer_service_create(pool);
	s = fake_store_create(&settings, timers, pool);
	if (!s || timer_service_start(timers) != AZ_OK ||
	    fake_store_start(s) != AZ_OK) {
		log_write(LOG_ERROR, "store", "%s", az_last_message());
		return EXIT_FAILURE;
	}
	log_write(LOG_INFO, "store", "listening on %s", settings.listen);
	sigwait(&signals, &received);
	/* All state is in memory, and pending watches need no answer. */
	return EXIT_SUCCESS;
}
