#include <math.h>
#include <string.h>

#include "home/home.h"

/* A failure counts half after this time. Gray workers of the users' sites fail
 * for some seconds at a time. */
#define TROUBLE_HALF_US (3 * US_PER_S)
#define TROUBLE_MAX 6.0
/* What a failure adds. A worker's own 500 is mostly the request's fault: about
 * one in eighty answers of sound workers is one. */
#define TROUBLE_BROKEN 1.5
#define TROUBLE_TIMEOUT 1.5
#define TROUBLE_UNREACHABLE 1.5
#define TROUBLE_SERVER_ERROR 1.2
#define TROUBLE_SHED 0.5
/* A whole answer takes away this share. */
#define TROUBLE_KEPT_ON_ANSWER 0.5
/* Odds against a sound worker, as a logarithm, that make one unit of trouble:
 * one worker in ten is gray at a time. */
#define LATE_ODDS 2.5
/* A request that is out adds no suspicion before these odds. */
#define LATE_ODDS_FREE 0.3
#define LATE_ODDS_MAX 6.0
/* Mean deviation to standard deviation. */
#define SIGMAS_PER_DEVIATION 1.25
#define LATENCY_WEIGHT 0.2
#define COLD_FACTOR 2.0

static double fade(double v, int64_t age_us)
{
	return v * exp2(-(double)age_us / (double)TROUBLE_HALF_US);
}

void track_send(struct track *t, int64_t now_us)
{
	t->sent_us = now_us;
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

/* A failure is evidence about the time at which the request was sent: one that
 * took long to show is old news. */
void track_end(struct track *t, int64_t sent_us, enum home_event e,
	       int64_t latency_us, int64_t now_us)
{
	double trouble = fade(t->trouble, now_us - t->trouble_us);

	remove_out(t, sent_us);
	if (e == EVENT_ANSWERED) {
		trouble *= TROUBLE_KEPT_ON_ANSWER;
		t->latency_us += t->latency_us ?
					 LATENCY_WEIGHT * ((double)latency_us -
							   t->latency_us) :
					 (double)latency_us;
	}
	trouble += fade(added_trouble(e), now_us - sent_us);
	t->trouble = trouble > TROUBLE_MAX ? TROUBLE_MAX : trouble;
	t->trouble_us = now_us;
}

/* Odds against a sound worker of a request that is out for so long. Lateness
 * fades too: a request that hangs since long ago says little about now. */
static double late_odds(const struct track *t, uint32_t i,
			const struct usual *u, int64_t now_us)
{
	int64_t age_us = now_us - t->out_us[i];
	double usual_us = (double)u->latency_us;
	double sigma_us = SIGMAS_PER_DEVIATION * (double)u->deviation_us;
	double odds;

	if (now_us < t->cold_until_us)
		usual_us *= COLD_FACTOR;
	odds = -log(erfc(((double)age_us - usual_us) / sigma_us / M_SQRT2) / 2 +
		    exp(-LATE_ODDS_MAX)) -
	       LATE_ODDS_FREE;
	if (odds <= 0)
		return 0;
	return (double)age_us > 2 * usual_us ?
		       fade(odds, age_us - (int64_t)(2 * usual_us)) :
		       odds;
}

double track_trouble(const struct track *t, const struct usual *u,
		     int64_t now_us)
{
	double odds = 0;

	for (uint32_t i = 0; i < t->out_count; i++)
		odds += late_odds(t, i, u, now_us);
	return fade(t->trouble, now_us - t->trouble_us) + odds / LATE_ODDS;
}
