/**
 * @file
 * Program: open-loop load generator for a fleet on this machine. Sends requests
 * as a caller that follows the ticket protocol, and reports results by rank.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <apr_general.h>
#include <ini.h>

#include "cmd/azhload/load.h"

#define OPERATIONS_MAX 5000000.0
#define FAIL_ON_MAX 16

/* Counts that --fail-on can limit. */
enum figure {
	FIGURE_FAILED,
	FIGURE_REFUSED,
	FIGURE_UNKNOWN,
	FIGURE_LOST,
	FIGURE_UNSENT,
	FIGURE_RERAN,
	FIGURE_LATE, /* answered after the deadline */
	FIGURE_COUNT,
};

static const char *const figure_names[] = { "failed", "refused", "unknown",
					    "lost",   "unsent",	 "reran",
					    "late" };

struct options {
	struct load_settings load;
	struct stream defaults;
	const char *schedule;
	const char *report_ids;
	bool json;
	uint32_t fail_on_count;
	enum figure fail_on[FAIL_ON_MAX];
	uint32_t fail_above[FAIL_ON_MAX]; /* largest allowed count of each, of
					   * all ranks together
					   */
	/* Section of the schedule file that is being read, and its stream. */
	char section[64];
	struct stream *section_stream;
};

const char *argp_program_version = "azhload";

enum {
	OPT_STREAM = 256,
	OPT_SCHEDULE,
	OPT_ROUTE,
	OPT_METHOD,
	OPT_RANK,
	OPT_RATE,
	OPT_SECONDS,
	OPT_ORGANISATION,
	OPT_TOKEN,
	OPT_DEADLINE_MS,
	OPT_BODY_BYTES,
	OPT_CONNECTIONS,
	OPT_RETRIES,
	OPT_REPEATS,
	OPT_PAUSE_MS,
	OPT_GRACE_MS,
	OPT_GIVE_UP_MS,
	OPT_BARE,
	OPT_TICKET_TARGET,
	OPT_GAPS,
	OPT_SEED,
	OPT_REPORT_IDS,
	OPT_JSON,
	OPT_FAIL_ON,
};

static const struct argp_option options[] = {
	{ "target", 't', "IP:PORT", 0,
	  "loopback address of a proxy; may be repeated", 0 },
	{ "stream", OPT_STREAM, "RANK:METHOD:ROUTE:RATE:SECONDS[:START]", 0,
	  "requests to send; may be repeated", 0 },
	{ "schedule", OPT_SCHEDULE, "FILE", 0,
	  "INI file with a section for each stream: rank, method, route, rate, "
	  "seconds, start, deadline_ms, organisation, token, body_bytes",
	  0 },
	{ "route", OPT_ROUTE, "PATH", 0, "single stream: path", 1 },
	{ "method", OPT_METHOD, "NAME", 0, "single stream: method (GET)", 1 },
	{ "rank", OPT_RANK, "NAME", 0, "single stream: rank (normal)", 1 },
	{ "rate", OPT_RATE, "N", 0, "single stream: requests per second (10)",
	  1 },
	{ "seconds", OPT_SECONDS, "N", 0, "single stream: length (10)", 1 },
	{ "organisation", OPT_ORGANISATION, "NAME", 0,
	  "organisation of the caller, for streams that name none", 2 },
	{ "token", OPT_TOKEN, "TEXT", 0, "bearer token of the organisation",
	  2 },
	{ "deadline-ms", OPT_DEADLINE_MS, "MS", 0,
	  "deadline of each attempt (5000)", 2 },
	{ "body-bytes", OPT_BODY_BYTES, "N", 0,
	  "padding in each body that is sent (0)", 2 },
	{ "connections", OPT_CONNECTIONS, "N", 0,
	  "open connections for each rank, at most (256)", 3 },
	{ "retries", OPT_RETRIES, "N", 0,
	  "retries after not-run, with a fresh ticket (3)", 3 },
	{ "repeats", OPT_REPEATS, "N", 0,
	  "repeats with the same ticket at another target, after an unknown "
	  "outcome or a lost connection (5)",
	  3 },
	{ "pause-ms", OPT_PAUSE_MS, "MS", 0,
	  "pause before a retry or repeat; doubles each time, up to 2 s (50)",
	  3 },
	{ "grace-ms", OPT_GRACE_MS, "MS", 0,
	  "time to wait for an answer beyond the deadline (1000)", 3 },
	{ "give-up-ms", OPT_GIVE_UP_MS, "MS", 0,
	  "start no attempt later than this after the intended send time "
	  "(30000)",
	  3 },
	{ "bare", OPT_BARE, NULL, 0,
	  "the services run requests without a ticket: the outcome of a lost "
	  "one is unknown",
	  3 },
	{ "ticket-target", OPT_TICKET_TARGET, "IP:PORT", 0,
	  "take the tickets here and present them at the targets", 3 },
	{ "gaps", OPT_GAPS, "exponential|fixed", 0,
	  "distribution of the time between requests (exponential)", 3 },
	{ "seed", OPT_SEED, "N", 0, "random seed of the gaps (1)", 3 },
	{ "report-ids", OPT_REPORT_IDS, "FILE", 0,
	  "write each run id with its outcome", 4 },
	{ "json", OPT_JSON, NULL, 0, "print the report as JSON", 4 },
	{ "fail-on", OPT_FAIL_ON, "FIGURE[=N]", 0,
	  "exit with 1 if failed, refused, unknown, lost, unsent, reran or "
	  "late is above N (0); may be repeated. Any crossed or truncated "
	  "answer also causes exit status 1",
	  4 },
	{ 0 }
};

/* ---- options and the schedule file ---- */

/* Callback of inih. Each section is a stream, which begins as a copy of the
 * defaults. Returns 0 to make ini_parse() fail at this line. */
static int on_ini(void *arg, const char *section, const char *name,
		  const char *value)
{
	struct options *o = arg;

	if (!o->section_stream || strcmp(section, o->section)) {
		if (o->load.stream_count == STREAMS_MAX)
			return 0;
		o->section_stream = &o->load.streams[o->load.stream_count++];
		*o->section_stream = o->defaults;
		snprintf(o->section, sizeof(o->section), "%s", section);
	}
	if (stream_set(o->section_stream, name, value) == AZ_OK)
		return 1;
	fprintf(stderr, "azhload: %s: [%s] %s\n", o->schedule, section,
		az_last_message());
	return 0;
}

static double number(struct argp_state *state, const char *name, const char *s,
		     double max)
{
	double v;

	if (number_parse(name, s, max, &v) != AZ_OK)
		argp_error(state, "%s", az_last_message());
	return v;
}

static int64_t ms_to_us(struct argp_state *state, const char *name,
			const char *s)
{
	return (int64_t)(number(state, name, s, 3.6e6) * US_PER_MS);
}

static void set_default(struct argp_state *state, const char *key,
			const char *value)
{
	struct options *o = state->input;

	if (stream_set(&o->defaults, key, value) != AZ_OK)
		argp_error(state, "%s", az_last_message());
}

static void add_target(struct argp_state *state, const char *arg)
{
	struct load_settings *l = &((struct options *)state->input)->load;

	if (l->target_count == TARGETS_MAX)
		argp_error(state, "more than %d targets", TARGETS_MAX);
	if (target_parse(arg, &l->targets[l->target_count]) != AZ_OK)
		argp_error(state, "%s", az_last_message());
	l->target_count++;
}

static void add_fail_on(struct argp_state *state, const char *arg)
{
	struct options *o = state->input;
	size_t n = strcspn(arg, "=");

	for (uint32_t i = 0; i < FIGURE_COUNT; i++) {
		if (strlen(figure_names[i]) != n ||
		    strncmp(figure_names[i], arg, n))
			continue;
		if (o->fail_on_count == FAIL_ON_MAX)
			argp_error(state, "too many --fail-on");
		o->fail_on[o->fail_on_count] = (enum figure)i;
		o->fail_above[o->fail_on_count++] =
			arg[n] ? (uint32_t)number(state, "--fail-on",
						  arg + n + 1, 1e9) :
				 0;
		return;
	}
	argp_error(state, "--fail-on: unknown figure '%s'", arg);
}

/* Creates the streams once all options are read, so that the defaults apply
 * wherever they stand on the command line. Checks the settings. */
static void finish_options(struct argp_state *state, const char **stream_texts,
			   uint32_t count)
{
	struct options *o = state->input;
	struct load_settings *l = &o->load;
	double operations = 0;

	for (uint32_t i = 0; i < count; i++) {
		l->streams[i] = o->defaults;
		if (stream_parse(&l->streams[i], stream_texts[i]) != AZ_OK)
			argp_error(state, "%s", az_last_message());
	}
	l->stream_count = count;
	if (o->schedule) {
		int rv = ini_parse(o->schedule, on_ini, o);

		if (rv)
			argp_error(state, "%s: cannot be read (line %d)",
				   o->schedule, rv);
	}
	if (!l->stream_count && *o->defaults.path)
		l->streams[l->stream_count++] = o->defaults;
	if (!l->target_count || !l->stream_count)
		argp_error(state, "a --target and a --stream, --schedule or "
				  "--route are needed");
	for (uint32_t i = 0; i < l->stream_count; i++) {
		const struct stream *s = &l->streams[i];

		if (!(s->rate_per_s > 0) || !s->length_us || !*s->path ||
		    !s->deadline_ms)
			argp_error(state,
				   "stream %u needs a route, and a rate, a "
				   "length and a deadline above 0",
				   i + 1);
		operations += s->rate_per_s * (double)s->length_us / US_PER_S;
	}
	if (operations > OPERATIONS_MAX)
		argp_error(state, "%.0f requests are more than %.0f",
			   operations, OPERATIONS_MAX);
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	static const char *stream_texts[STREAMS_MAX];
	static uint32_t stream_text_count;
	struct options *o = state->input;
	struct load_settings *l = &o->load;

	switch (key) {
	case 't':
		add_target(state, arg);
		break;
	case OPT_STREAM:
		if (stream_text_count == STREAMS_MAX)
			argp_error(state, "more than %d streams", STREAMS_MAX);
		stream_texts[stream_text_count++] = arg;
		break;
	case OPT_SCHEDULE:
		o->schedule = arg;
		break;
	case OPT_ROUTE:
		set_default(state, "route", arg);
		break;
	case OPT_METHOD:
		set_default(state, "method", arg);
		break;
	case OPT_RANK:
		set_default(state, "rank", arg);
		break;
	case OPT_RATE:
		set_default(state, "rate", arg);
		break;
	case OPT_SECONDS:
		set_default(state, "seconds", arg);
		break;
	case OPT_ORGANISATION:
		set_default(state, "organisation", arg);
		break;
	case OPT_TOKEN:
		set_default(state, "token", arg);
		break;
	case OPT_DEADLINE_MS:
		set_default(state, "deadline_ms", arg);
		break;
	case OPT_BODY_BYTES:
		set_default(state, "body_bytes", arg);
		break;
	case OPT_CONNECTIONS:
		l->connections =
			(uint32_t)number(state, "--connections", arg, 8192);
		break;
	case OPT_RETRIES:
		l->retries = (uint32_t)number(state, "--retries", arg, 100);
		break;
	case OPT_REPEATS:
		l->repeats = (uint32_t)number(state, "--repeats", arg, 100);
		break;
	case OPT_PAUSE_MS:
		l->pause_us = ms_to_us(state, "--pause-ms", arg);
		break;
	case OPT_GRACE_MS:
		l->grace_us = ms_to_us(state, "--grace-ms", arg);
		break;
	case OPT_GIVE_UP_MS:
		l->give_up_us = ms_to_us(state, "--give-up-ms", arg);
		break;
	case OPT_BARE:
		l->bare = true;
		break;
	case OPT_TICKET_TARGET:
		if (target_parse(arg, &l->ticket_target) != AZ_OK)
			argp_error(state, "%s", az_last_message());
		l->has_ticket_target = true;
		break;
	case OPT_GAPS:
		if (strcmp(arg, "fixed") && strcmp(arg, "exponential"))
			argp_error(state, "--gaps is exponential or fixed");
		l->fixed_gaps = !strcmp(arg, "fixed");
		break;
	case OPT_SEED:
		l->seed = (uint64_t)number(state, "--seed", arg, 9e15);
		break;
	case OPT_REPORT_IDS:
		o->report_ids = arg;
		l->keep_records = true;
		break;
	case OPT_JSON:
		o->json = true;
		break;
	case OPT_FAIL_ON:
		add_fail_on(state, arg);
		break;
	case ARGP_KEY_END:
		finish_options(state, stream_texts, stream_text_count);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp argp = {
	options,
	parse,
	NULL,
	"Sends requests to proxies on this machine at times that do not depend "
	"on the answers, and reports results by rank. Latency counts from the "
	"intended send time.\vRequests with methods other than GET and HEAD "
	"follow the ticket protocol: they use a fresh ticket after 428 or "
	"not-run, and the same ticket at another target after an unknown "
	"outcome or a lost connection.",
	NULL,
	NULL,
	NULL
};

/* ---- report ---- */

static double latency_ms(const struct rank_result *r, uint32_t per_10000)
{
	return percentile(r->latency_us, r->latency_count, per_10000) / 1000.0;
}

static double attempt_latency_ms(const struct rank_result *r,
				 uint32_t per_10000)
{
	return percentile(r->attempt_us, r->latency_count, per_10000) / 1000.0;
}

static void print_table(const struct load *l)
{
	printf("%-7s %7s %8s %8s %9s %9s %9s %7s %7s %7s %6s %6s %7s %9s %5s\n",
	       "rank", "sent", "answered", "in_time", "p50_ms", "p99_ms",
	       "p99.9_ms", "failed", "refused", "unknown", "lost", "unsent",
	       "crossed", "truncated", "reran");
	for (uint32_t i = 0; i < RANK_COUNT; i++) {
		const struct rank_result *r = load_result(l, (enum rank)i);

		if (!r->sent)
			continue;
		printf("%-7s %7u %8u %8u %9.1f %9.1f %9.1f %7u %7u %7u %6u %6u "
		       "%7u %9u %5u\n",
		       rank_name((enum rank)i), r->sent,
		       r->final_counts[FINAL_ANSWERED], r->in_time,
		       latency_ms(r, 5000), latency_ms(r, 9900),
		       latency_ms(r, 9990), r->final_counts[FINAL_FAILED],
		       r->final_counts[FINAL_REFUSED],
		       r->final_counts[FINAL_UNKNOWN],
		       r->final_counts[FINAL_LOST],
		       r->final_counts[FINAL_UNSENT], r->crossed, r->truncated,
		       r->reran);
	}
}

static void print_json(const struct load *l)
{
	const char *comma = "";

	printf("{");
	for (uint32_t i = 0; i < RANK_COUNT; i++) {
		const struct rank_result *r = load_result(l, (enum rank)i);

		printf("%s\"%s\":{\"sent\":%u,\"in_time\":%u,\"attempts\":%u,"
		       "\"lost_connections\":%u,\"crossed\":%u,"
		       "\"truncated\":%u,\"reran\":%u,\"p50_ms\":%.3f,"
		       "\"p99_ms\":%.3f,\"p99_9_ms\":%.3f,"
		       "\"attempt_p50_ms\":%.3f,\"attempt_p99_ms\":%.3f",
		       comma, rank_name((enum rank)i), r->sent, r->in_time,
		       r->attempts, r->lost_connections, r->crossed,
		       r->truncated, r->reran, latency_ms(r, 5000),
		       latency_ms(r, 9900), latency_ms(r, 9990),
		       attempt_latency_ms(r, 5000),
		       attempt_latency_ms(r, 9900));
		for (uint32_t f = FINAL_ANSWERED; f < FINAL_COUNT; f++)
			printf(",\"%s\":%u", final_names[f],
			       r->final_counts[f]);
		printf("}");
		comma = ",";
	}
	printf("}\n");
}

static enum az_status write_report_ids(const struct load *l,
				       const struct load_settings *s,
				       const char *path)
{
	uint32_t count;
	const struct record *list = load_records(l, &count);
	FILE *f = fopen(path, "w");
	bool failed;

	if (!f)
		return az_fail(AZ_IO, "cannot write %s", path);
	fprintf(f, "run_id rank method route sent_ms latency_ms outcome status "
		   "attempts error\n");
	for (uint32_t i = 0; i < count; i++) {
		const struct record *r = &list[i];
		const struct stream *m = &s->streams[r->stream];

		fprintf(f, "%s %s %s %s %.1f %.1f %s %u %u %s\n", r->run_id,
			rank_name(m->rank), m->method, m->path,
			(double)r->sent_us / US_PER_MS,
			(double)r->latency_us / US_PER_MS,
			final_names[r->final], r->status, r->attempts,
			*r->error ? r->error : "-");
	}
	failed = ferror(f);
	if (fclose(f) || failed)
		return az_fail(AZ_IO, "cannot write %s", path);
	return AZ_OK;
}

static uint32_t figure_value(const struct rank_result *r, enum figure f)
{
	switch (f) {
	case FIGURE_FAILED:
		return r->final_counts[FINAL_FAILED];
	case FIGURE_REFUSED:
		return r->final_counts[FINAL_REFUSED];
	case FIGURE_UNKNOWN:
		return r->final_counts[FINAL_UNKNOWN];
	case FIGURE_LOST:
		return r->final_counts[FINAL_LOST];
	case FIGURE_UNSENT:
		return r->final_counts[FINAL_UNSENT];
	case FIGURE_RERAN:
		return r->reran;
	case FIGURE_LATE:
		return r->final_counts[FINAL_ANSWERED] - r->in_time;
	default:
		return 0;
	}
}

/* Checks the counts against --fail-on; prints those that are above. */
static bool is_within_limits(const struct options *o, const struct load *l)
{
	uint32_t sums[FIGURE_COUNT] = { 0 };
	uint32_t wrong_answers = 0;
	bool ok;

	for (uint32_t i = 0; i < RANK_COUNT; i++) {
		const struct rank_result *r = load_result(l, (enum rank)i);

		wrong_answers += r->crossed + r->truncated;
		for (uint32_t f = 0; f < FIGURE_COUNT; f++)
			sums[f] += figure_value(r, (enum figure)f);
	}
	ok = !wrong_answers;
	if (wrong_answers)
		fprintf(stderr, "azhload: %u crossed or truncated answers\n",
			wrong_answers);
	for (uint32_t i = 0; i < o->fail_on_count; i++)
		if (sums[o->fail_on[i]] > o->fail_above[i]) {
			fprintf(stderr, "azhload: %s is %u, above %u\n",
				figure_names[o->fail_on[i]],
				sums[o->fail_on[i]], o->fail_above[i]);
			ok = false;
		}
	return ok;
}

static void sort_latencies(const struct load *l)
{
	for (uint32_t i = 0; i < RANK_COUNT; i++) {
		const struct rank_result *r = load_result(l, (enum rank)i);

		if (!r->latency_count)
			continue;
		qsort(r->latency_us, r->latency_count, sizeof(*r->latency_us),
		      compare_u32);
		qsort(r->attempt_us, r->latency_count, sizeof(*r->attempt_us),
		      compare_u32);
	}
}

int main(int argc, char **argv)
{
	static struct options o = {
		.load = { .connections = 256,
			  .retries = 3,
			  .repeats = 5,
			  .pause_us = 50 * US_PER_MS,
			  .grace_us = US_PER_S,
			  .give_up_us = 30 * US_PER_S,
			  .seed = 1 },
		.defaults = { .rank = RANK_NORMAL,
			      .method = "GET",
			      .rate_per_s = 10,
			      .length_us = 10 * US_PER_S,
			      .deadline_ms = 5000 },
	};
	struct load *l;

	apr_initialize();
	signal(SIGPIPE, SIG_IGN);
	argp_parse(&argp, argc, argv, 0, NULL, &o);
	l = load_run(&o.load);
	if (!l) {
		fprintf(stderr, "azhload: %s\n", az_last_message());
		return EXIT_FAILURE;
	}
	sort_latencies(l);
	if (o.json)
		print_json(l);
	else
		print_table(l);
	if (o.report_ids &&
	    write_report_ids(l, &o.load, o.report_ids) != AZ_OK) {
		fprintf(stderr, "azhload: %s\n", az_last_message());
		return EXIT_FAILURE;
	}
	return is_within_limits(&o, l) ? EXIT_SUCCESS : EXIT_FAILURE;
}
