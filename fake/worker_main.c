/**
 * @file
 * Program: stand-in of one worker process of an upstream.
 */
#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <apr_general.h>

#include "fake/fake.h"

const char *argp_program_version = "azurehold stand-in worker";

enum {
	OPT_LISTEN = 256,
	OPT_CONTROL,
	OPT_NAME,
	OPT_SLOTS,
	OPT_BACKLOG,
	OPT_SHED,
	OPT_SERVICE_MS,
	OPT_SERVICE_DIST,
	OPT_CONNECT_MS,
	OPT_HEALTH_PATH,
	OPT_PROBE_MS,
	OPT_HEALTH_LAG_MS,
	OPT_COLD_START_MS,
	OPT_COLD_START_FACTOR,
	OPT_ANSWER_BYTES,
	OPT_SEED,
	OPT_RUN_LOG,
};

static const struct argp_option options[] = {
	{ "listen", OPT_LISTEN, "IP:PORT", 0, "address of the service", 0 },
	{ "control", OPT_CONTROL, "IP:PORT", 0,
	  "address for /runs, /counts and /fault", 0 },
	{ "name", OPT_NAME, "NAME", 0, "name in answers", 0 },
	{ "slots", OPT_SLOTS, "N", 0, "requests served at the same time (6)",
	  0 },
	{ "backlog", OPT_BACKLOG, "N", 0,
	  "most requests that wait for a slot (64)", 0 },
	{ "shed", OPT_SHED, "yes|no", 0,
	  "refuse with 503 beyond the backlog (yes)", 0 },
	{ "service-ms", OPT_SERVICE_MS, "MS", 0, "mean service time (20)", 0 },
	{ "service-dist", OPT_SERVICE_DIST, "exponential|fixed", 0,
	  "distribution of service times (exponential)", 0 },
	{ "connect-ms", OPT_CONNECT_MS, "MS", 0,
	  "time until a new connection is served (1)", 0 },
	{ "health-path", OPT_HEALTH_PATH, "PATH", 0,
	  "path of the health check (/health)", 0 },
	{ "probe-ms", OPT_PROBE_MS, "MS", 0,
	  "service time of a GET of the health path, in a slot (25)", 0 },
	{ "health-lag-ms", OPT_HEALTH_LAG_MS, "MS", 0,
	  "delay of the reported health and load (0)", 0 },
	{ "cold-start-ms", OPT_COLD_START_MS, "MS", 0,
	  "length of the cold start (0)", 0 },
	{ "cold-start-factor", OPT_COLD_START_FACTOR, "F", 0,
	  "service time factor at the start, falling to 1 (5)", 0 },
	{ "answer-bytes", OPT_ANSWER_BYTES, "N", 0,
	  "padding in each answer (0)", 0 },
	{ "seed", OPT_SEED, "N", 0, "seed of the random numbers (1)", 0 },
	{ "run-log", OPT_RUN_LOG, "FILE", 0,
	  "append the run id of each run; the file survives a killed worker",
	  0 },
	{ 0 }
};

static double parse_number(struct argp_state *state, const char *s, double max)
{
	char *end;
	double v = strtod(s, &end);

	if (end == s || *end || !(v >= 0 && v <= max))
		argp_error(state, "'%s' is not a number from 0 to %.0f", s,
			   max);
	return v;
}

static int64_t ms_to_us(struct argp_state *state, const char *s)
{
	return (int64_t)(parse_number(state, s, 3.6e6) * US_PER_MS);
}

/* True if the option's value is `yes`, false if it is `no`; else a usage error.
 */
static bool parse_choice(struct argp_state *state, const char *s,
			 const char *yes, const char *no)
{
	if (strcmp(s, yes) && strcmp(s, no))
		argp_error(state, "'%s' is neither %s nor %s", s, yes, no);
	return !strcmp(s, yes);
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct fake_worker_settings *s = state->input;

	switch (key) {
	case OPT_LISTEN:
		s->listen = arg;
		break;
	case OPT_CONTROL:
		s->control = arg;
		break;
	case OPT_NAME:
		s->name = arg;
		break;
	case OPT_SLOTS:
		s->slots = (uint32_t)parse_number(state, arg, 65536);
		if (!s->slots)
			argp_error(state, "--slots must be 1 or more");
		break;
	case OPT_BACKLOG:
		s->backlog = (uint32_t)parse_number(state, arg, 65536);
		break;
	case OPT_SHED:
		s->shedding = parse_choice(state, arg, "yes", "no");
		break;
	case OPT_SERVICE_MS:
		s->service.mean_us = ms_to_us(state, arg);
		break;
	case OPT_SERVICE_DIST:
		s->service.fixed =
			parse_choice(state, arg, "fixed", "exponential");
		break;
	case OPT_CONNECT_MS:
		s->connect_us = ms_to_us(state, arg);
		break;
	case OPT_HEALTH_PATH:
		s->health_path = arg;
		break;
	case OPT_PROBE_MS:
		s->probe_us = ms_to_us(state, arg);
		break;
	case OPT_HEALTH_LAG_MS:
		s->health_lag_us = ms_to_us(state, arg);
		break;
	case OPT_COLD_START_MS:
		s->service.cold_start_us = ms_to_us(state, arg);
		break;
	case OPT_COLD_START_FACTOR:
		s->service.cold_factor_percent =
			(uint32_t)(parse_number(state, arg, 1e4) * 100);
		break;
	case OPT_ANSWER_BYTES:
		s->answer_bytes = (uint32_t)parse_number(state, arg, 1 << 24);
		break;
	case OPT_SEED:
		s->seed = (uint64_t)parse_number(state, arg, 9e15);
		break;
	case OPT_RUN_LOG:
		s->run_log = fopen(arg, "ae");
		if (!s->run_log)
			argp_error(state, "cannot write %s", arg);
		setlinebuf(s->run_log);
		break;
	case ARGP_KEY_END:
		if (!s->listen)
			argp_error(state, "--listen is missing");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp argp = {
	options, parse_option,
	NULL,	 "Stand-in of one worker process of an upstream.",
	NULL,	 NULL,
	NULL
};

int main(int argc, char **argv)
{
	struct fake_worker_settings s = {
		.name = "worker",
		.health_path = "/health",
		.slots = 6,
		.backlog = 64,
		.shedding = true,
		.service = { .mean_us = 20 * US_PER_MS,
			     .cold_factor_percent = 500 },
		.connect_us = US_PER_MS,
		.probe_us = 25 * US_PER_MS,
		.seed = 1
	};
	struct timer_service *timers;
	struct fake_worker *w;
	apr_pool_t *pool;
	sigset_t signals;
	int received;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	argp_parse(&argp, argc, argv, 0, NULL, &s);
	log_set_source(s.name);
	/* Signals are blocked before any thread starts, so that only sigwait()
	 * gets them. */
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	timers = timer_service_create(pool);
	w = fake_worker_create(&s, timers, pool);
	if (!w || timer_service_start(timers) != AZ_OK ||
	    fake_worker_start(w) != AZ_OK) {
		log_write(LOG_ERROR, "worker", "%s", az_last_message());
		return EXIT_FAILURE;
	}
	log_write(LOG_INFO, "worker", "listening on %s", s.listen);
	sigwait(&signals, &received);
	fake_worker_stop(w);
	timer_service_stop(timers);
	return EXIT_SUCCESS;
}
