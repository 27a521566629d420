/**
 * @file
 * Evidence about a worker: suspicion from failures and from requests that are
 * in flight for too long.
 */
#include <math.h>
#include <string.h>

#include "home/home.h"

/* Gray workers at the users' sites fail for some seconds at a time. */
#define SUSPICION_HALF_LIFE_US (3 * US_PER_S)
/* Most suspicion that failures can cause. */
#define SUSPICION_MAX 6.0
/* Suspicion that each kind of failure adds. An answer with a status of 500 or
 * more adds less, as it is mostly caused by the request: about one in eighty
 * answers of healthy workers has such a status. */
#define SUSPICION_NO_VALID_ANSWER 1.5
#define SUSPICION_TIMEOUT 1.5
#define SUSPICION_UNREACHABLE 1.5
#define SUSPICION_SERVER_ERROR 1.2
#define SUSPICION_SHED 0.5
/* Share of the suspicion that a complete answer leaves. */
#define SUSPICION_KEPT_ON_ANSWER 0.5
/* Log odds that make one unit of suspicion: log 9, as one worker in ten is gray
 * at any time. Evidence of odds 9 to 1 makes gray as likely as healthy. */
#define LOG_ODDS_PER_SUSPICION 2.2
/* Most suspicion that requests in flight can cause. */
#define LATE_SUSPICION_MAX 3.0
/* Share of its requests that a gray worker fails. */
#define GRAY_FAIL_SHARE 0.75
/* Standard deviation of a normal distribution divided by its mean deviation. */
#define SIGMAS_PER_DEVIATION 1.25
/* A worker that is slower than the cell's baseline by this factor is compared
 * with its own latency: a steady slow worker is healthy. */
#define SLOW_FACTOR 2.0
/* Added to the probability that a request at a healthy worker is still in
 * flight; bounds the log odds that a single request gives. */
#define STILL_IN_FLIGHT_MIN 0.002
/* Weight of a new sample in the worker's smoothed latency. */
#define LATENCY_WEIGHT 0.2
/* Before the end of its cold start (cold_until_us) a worker may take this many
 * times its usual latency. */
#define COLD_FACTOR 2.0

/* Returns the value that remains of `v` after `age_us`, with the half-life of
 * suspicion. */
static double decay(double v, int64_t age_us)
{
	return v * exp2(-(double)age_us / (double)SUSPICION_HALF_LIFE_US);
}

void worker_evidence_record_send(struct worker_evidence *ev, int64_t now_us)
{
	ev->last_sent_us = now_us;
	if (ev->in_flight_count < EVIDENCE_IN_FLIGHT_MAX)
		ev->in_flight_sent_us[ev->in_flight_count++] = now_us;
}

static void remove_in_flight(struct worker_evidence *ev, int64_t sent_us)
{
	for (uint32_t i = 0; i < ev->in_flight_count; i++)
		if (ev->in_flight_sent_us[i] == sent_us) {
			ev->in_flight_sent_us[i] =
				ev->in_flight_sent_us[--ev->in_flight_count];
			return;
		}
}

static double added_suspicion(enum home_event e)
{
	static const double added[EVENT_COUNT] = {
		[EVENT_NO_VALID_ANSWER] = SUSPICION_NO_VALID_ANSWER,
		[EVENT_TIMEOUT] = SUSPICION_TIMEOUT,
		[EVENT_UNREACHABLE] = SUSPICION_UNREACHABLE,
		[EVENT_WORKER_ID_MISMATCH] = SUSPICION_UNREACHABLE,
		[EVENT_SERVER_ERROR] = SUSPICION_SERVER_ERROR,
		[EVENT_SHED] = SUSPICION_SHED,
	};

	return added[e];
}

/* Adds an answer to the count of recent answers, which has the worker's latency
 * as its half-life. The first answer of a worker uses its own latency, as the
 * worker has no smoothed latency yet. */
static void record_answer(struct worker_evidence *ev, int64_t sent_us,
			  int64_t latency_us, int64_t now_us)
{
	double half_us = ev->latency_us ? ev->latency_us : (double)latency_us;

	if (half_us < 1)
		half_us = 1;
	ev->recent_answers =
		ev->recent_answers *
			exp2(-(double)(now_us - ev->recent_answers_us) /
			     half_us) +
		exp2(-(double)(now_us - sent_us) / half_us);
	ev->recent_answers_us = now_us;
}

/* Returns the log odds that the worker is gray rather than healthy, given that
 * a request sent at `sent_us` is still in flight. A healthy worker's latency is
 * taken as normally distributed. The odds decay beyond twice the baseline: a
 * request that began to hang long ago says little about the worker now. */
static double late_log_odds(const struct worker_evidence *ev, int64_t sent_us,
			    const struct latency_baseline *base, int64_t now_us)
{
	int64_t age_us = now_us - sent_us;
	double baseline_us =
		ev->latency_us > SLOW_FACTOR * (double)base->latency_us ?
			ev->latency_us :
			(double)base->latency_us;
	double sigma_us = SIGMAS_PER_DEVIATION * (double)base->deviation_us *
			  baseline_us / (double)base->latency_us;
	double still_in_flight;
	double log_odds;

	if (now_us < ev->cold_until_us)
		baseline_us *= COLD_FACTOR;
	still_in_flight =
		erfc(((double)age_us - baseline_us) / sigma_us / M_SQRT2) / 2;
	log_odds = log(
		(GRAY_FAIL_SHARE + (1 - GRAY_FAIL_SHARE) * still_in_flight) /
		(still_in_flight + STILL_IN_FLIGHT_MIN));
	return (double)age_us > 2 * baseline_us ?
		       decay(log_odds, age_us - (int64_t)(2 * baseline_us)) :
		       log_odds;
}

/* A failure is evidence about the time at which the request was sent, so the
 * suspicion that it adds has decayed since then. */
void worker_evidence_record_completion(struct worker_evidence *ev,
				       const struct latency_baseline *base,
				       int64_t sent_us, enum home_event e,
				       int64_t latency_us, int64_t now_us)
{
	double suspicion = decay(ev->suspicion, now_us - ev->suspicion_us);

	remove_in_flight(ev, sent_us);
	if (e == EVENT_ANSWERED) {
		record_answer(ev, sent_us, latency_us, now_us);
		suspicion *= SUSPICION_KEPT_ON_ANSWER;
		ev->latency_us += ev->latency_us ?
					  LATENCY_WEIGHT * ((double)latency_us -
							    ev->latency_us) :
					  (double)latency_us;
	}
	suspicion += decay(added_suspicion(e), now_us - sent_us);
	/* A request that was late when it was cancelled remains evidence. */
	if (e == EVENT_CANCELLED)
		suspicion += fmax(late_log_odds(ev, sent_us, base, now_us), 0) /
			     LOG_ODDS_PER_SUSPICION;
	ev->suspicion = suspicion > SUSPICION_MAX ? SUSPICION_MAX : suspicion;
	ev->suspicion_us = now_us;
}

/* Returns the count of the recent answers, decayed to now. An answer is
 * evidence for the worker at the time at which its request was sent. */
static double answer_weight(const struct worker_evidence *ev,
			    const struct latency_baseline *base, int64_t now_us)
{
	return ev->recent_answers *
	       exp2(-(double)(now_us - ev->recent_answers_us) /
		    (double)base->latency_us);
}

double worker_evidence_suspicion(const struct worker_evidence *ev,
				 const struct latency_baseline *base,
				 int64_t now_us)
{
	double log_odds = 0;

	for (uint32_t i = 0; i < ev->in_flight_count; i++)
		log_odds += late_log_odds(ev, ev->in_flight_sent_us[i], base,
					  now_us);
	/* A gray worker gives an answer with the probability
	 * 1 - GRAY_FAIL_SHARE, a healthy one always. */
	log_odds += log(1 - GRAY_FAIL_SHARE) * answer_weight(ev, base, now_us);
	log_odds /= LOG_ODDS_PER_SUSPICION;
	if (log_odds < 0)
		log_odds = 0;
	return decay(ev->suspicion, now_us - ev->suspicion_us) +
	       (log_odds < LATE_SUSPICION_MAX ? log_odds : LATE_SUSPICION_MAX);
}
