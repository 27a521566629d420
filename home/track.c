#include <math.h>
#include <string.h>

#include "home/home.h"

/* A failure counts half after this time. Gray workers of the users' sites fail
 * for some seconds at a time. */
#define TROUBLE_HALF_US (2 * US_PER_S)
#define TROUBLE_MAX 6.0
/* What a failure adds. A worker's own 500 is mostly the request's fault: about
 * one in eighty answers of sound workers is one. */
#define TROUBLE_BROKEN 1.5
#define TROUBLE_TIMEOUT 2.0
#define TROUBLE_UNREACHABLE 1.5
#define TROUBLE_SERVER_ERROR 0.8
#define TROUBLE_SHED 0.5
/* A whole answer takes away this share. */
#define TROUBLE_KEPT_ON_ANSWER 0.5
/* A request that is out for this many usual times is late. */
#define LATE_FROM 2.0
#define LATE_TROUBLE 4.0
#define LATE_LOAD_MAX 6.0
#define LATENCY_WEIGHT 0.2
#define COLD_FACTOR 2.0

static double decayed(const struct track *t, int64_t now_us)
{
	return t->trouble *
	       exp2(-(double)(now_us - t->trouble_us) / TROUBLE_HALF_US);
}

void track_send(struct track *t, int64_t now_us)
{
	if (t->out_count < TRACK_OUT_MAX)
		t->out_us[t->out_count++] = now_us;
}

static void remove_out(struct track *t, int64_t sent_us)
{
	for (uint32_t i = 0; i < t->out_count; i++)
		if (t->out_us[i] == sent_us) {
			t->out_us[i] = t->out_us[--t->out_count];
			return;
		}
}

static double added_trouble(enum home_event e)
{
	switch (e) {
	case EVENT_BROKEN:
		return TROUBLE_BROKEN;
	case EVENT_TIMEOUT:
		return TROUBLE_TIMEOUT;
	case EVENT_UNREACHABLE:
	case EVENT_IS_ANOTHER:
		return TROUBLE_UNREACHABLE;
	case EVENT_SERVER_ERROR:
		return TROUBLE_SERVER_ERROR;
	case EVENT_SHED:
		return TROUBLE_SHED;
	default:
		return 0;
	}
}

void track_end(struct track *t, int64_t sent_us, enum home_event e,
	       int64_t latency_us, int64_t now_us)
{
	double trouble = decayed(t, now_us);

	remove_out(t, sent_us);
	if (e == EVENT_ANSWERED) {
		trouble *= TROUBLE_KEPT_ON_ANSWER;
		t->latency_us += t->latency_us ?
					 LATENCY_WEIGHT * ((double)latency_us -
							   t->latency_us) :
					 (double)latency_us;
	}
	trouble += added_trouble(e);
	t->trouble = trouble > TROUBLE_MAX ? TROUBLE_MAX : trouble;
	t->trouble_us = now_us;
}

/* How many usual times a request is out. */
static double age(const struct track *t, uint32_t i, int64_t usual_us,
		  int64_t now_us)
{
	double usual = (double)usual_us;

	if (now_us < t->cold_until_us)
		usual *= COLD_FACTOR;
	return (double)(now_us - t->out_us[i]) / usual;
}

double track_trouble(const struct track *t, int64_t usual_us, int64_t now_us)
{
	double trouble = decayed(t, now_us);

	for (uint32_t i = 0; i < t->out_count; i++)
		if (age(t, i, usual_us, now_us) > LATE_TROUBLE)
			trouble += 1;
	return trouble;
}

double track_load(const struct track *t, int64_t usual_us, int64_t now_us)
{
	double load = 0;

	for (uint32_t i = 0; i < t->out_count; i++) {
		double late = age(t, i, usual_us, now_us) - LATE_FROM;

		load += 1;
		if (late > 0)
			load += late < LATE_LOAD_MAX ? late : LATE_LOAD_MAX;
	}
	return load;
}
