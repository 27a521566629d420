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
/* One worker in ten is gray at a time; with odds of as much against that, the
 * logarithm of which this is, a worker is in one unit of trouble. */
#define LATE_ODDS 2.2
#define LATE_TROUBLE_MAX 3.0
/* A gray worker fails this share of its requests. */
#define GRAY_FAILS 0.75
/* Mean deviation to standard deviation. */
#define SIGMAS_PER_DEVIATION 1.25
/* A worker whose answers take this many times the usual is measured by its own
 * history: slow but steady is sound. */
#define SLOW_FACTOR 2.0
#define STILL_OUT_MIN 0.002
#define LATENCY_WEIGHT 0.2
#define COLD_FACTOR 2.0

static double fade(double v, int64_t age_us)
{
	return v * exp2(-(double)age_us / (double)TROUBLE_HALF_US);
}

void evidence_record_send(struct worker_evidence *t, int64_t now_us)
{
	t->sent_us = now_us;
	if (t->out_count < TRACK_OUT_MAX)
		t->out_us[t->out_count++] = now_us;
}

static void remove_out(struct worker_evidence *t, int64_t sent_us)
{
	for (uint32_t i = 0; i < t->out_count; i++)
		if (t->out_us[i] == sent_us) {
			t->out_us[i] = t->out_us[--t->out_count];
			return;
		}
}

static double added_trouble(enum home_event e)
{
	static const double added[EVENT_COUNT] = {
		[EVENT_NO_VALID_ANSWER] = TROUBLE_BROKEN,
		[EVENT_TIMEOUT] = TROUBLE_TIMEOUT,
		[EVENT_UNREACHABLE] = TROUBLE_UNREACHABLE,
		[EVENT_WRONG_WORKER] = TROUBLE_UNREACHABLE,
		[EVENT_SERVER_ERROR] = TROUBLE_SERVER_ERROR,
		[EVENT_SHED] = TROUBLE_SHED,
	};

	return added[e];
}

/* Halves with each usual time of this worker; the latency of its first answer
 * stands for it at first. */
static void note_good(struct worker_evidence *t, int64_t sent_us,
		      int64_t latency_us, int64_t now_us)
{
	double half_us = t->latency_us ? t->latency_us : (double)latency_us;

	if (half_us < 1)
		half_us = 1;
	t->good = t->good * exp2(-(double)(now_us - t->good_us) / half_us) +
		  exp2(-(double)(now_us - sent_us) / half_us);
	t->good_us = now_us;
}

/* Log odds of gray against sound that a request which is out for so long
 * gives. Lateness fades: one that hangs since long ago says little about now.
 */
static double late_odds(const struct worker_evidence *t, int64_t sent_us,
			const struct latency_baseline *u, int64_t now_us)
{
	int64_t age_us = now_us - sent_us;
	double usual_us = t->latency_us > SLOW_FACTOR * (double)u->latency_us ?
				  t->latency_us :
				  (double)u->latency_us;
	double sigma_us = SIGMAS_PER_DEVIATION * (double)u->deviation_us *
			  usual_us / (double)u->latency_us;
	double still_out;
	double odds;

	if (now_us < t->cold_until_us)
		usual_us *= COLD_FACTOR;
	still_out = erfc(((double)age_us - usual_us) / sigma_us / M_SQRT2) / 2;
	odds = log((GRAY_FAILS + (1 - GRAY_FAILS) * still_out) /
		   (still_out + STILL_OUT_MIN));
	return (double)age_us > 2 * usual_us ?
		       fade(odds, age_us - (int64_t)(2 * usual_us)) :
		       odds;
}

/* A failure is evidence about the time at which the request was sent: one that
 * took long to show is old news. */
void evidence_record_completion(struct worker_evidence *t,
				const struct latency_baseline *u,
				int64_t sent_us, enum home_event e,
				int64_t latency_us, int64_t now_us)
{
	double trouble = fade(t->trouble, now_us - t->trouble_us);

	remove_out(t, sent_us);
	if (e == EVENT_ANSWERED) {
		note_good(t, sent_us, latency_us, now_us);
		trouble *= TROUBLE_KEPT_ON_ANSWER;
		t->latency_us += t->latency_us ?
					 LATENCY_WEIGHT * ((double)latency_us -
							   t->latency_us) :
					 (double)latency_us;
	}
	trouble += fade(added_trouble(e), now_us - sent_us);
	/* What was late when it was given up stays late. */
	if (e == EVENT_CANCELLED)
		trouble +=
			fmax(late_odds(t, sent_us, u, now_us), 0) / LATE_ODDS;
	t->trouble = trouble > TROUBLE_MAX ? TROUBLE_MAX : trouble;
	t->trouble_us = now_us;
}

/* Answers speak for the worker at the time when their requests were sent. */
static double good(const struct worker_evidence *t,
		   const struct latency_baseline *u, int64_t now_us)
{
	return t->good *
	       exp2(-(double)(now_us - t->good_us) / (double)u->latency_us);
}

double evidence_suspicion(const struct worker_evidence *t,
			  const struct latency_baseline *u, int64_t now_us)
{
	double odds = 0;

	for (uint32_t i = 0; i < t->out_count; i++)
		odds += late_odds(t, t->out_us[i], u, now_us);
	odds += log(1 - GRAY_FAILS) * good(t, u, now_us);
	odds /= LATE_ODDS;
	if (odds < 0)
		odds = 0;
	return fade(t->trouble, now_us - t->trouble_us) +
	       (odds < LATE_TROUBLE_MAX ? odds : LATE_TROUBLE_MAX);
}
