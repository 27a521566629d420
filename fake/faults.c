#include <stdlib.h>
#include <string.h>

#include "fake/fake.h"

static int64_t slow_service_us(struct fault *f, int64_t us, int64_t now_us)
{
	return us * f->factor_percent / 100;
}

/* Returns `a` for `percent` of the requests, and FAULT_PASS for the others. */
static enum fault_action apply_percent(struct fault *f, enum fault_action a)
{
	return prng_percent(&f->prng, f->percent) ? a : FAULT_PASS;
}

static enum fault_action
answer_error(struct fault *f, const struct fault_request *r, int64_t now_us)
{
	return apply_percent(f, FAULT_ERROR);
}

static enum fault_action
answer_truncated(struct fault *f, const struct fault_request *r, int64_t now_us)
{
	return apply_percent(f, FAULT_TRUNCATE);
}

static enum fault_action
stay_silent(struct fault *f, const struct fault_request *r, int64_t now_us)
{
	return apply_percent(f, FAULT_SILENT);
}

static enum fault_action
shed_request(struct fault *f, const struct fault_request *r, int64_t now_us)
{
	return apply_percent(f, FAULT_SHED);
}

static enum fault_action close_reused_post(struct fault *f,
					   const struct fault_request *r,
					   int64_t now_us)
{
	return r->post && r->reused ? apply_percent(f, FAULT_CLOSE) :
				      FAULT_PASS;
}

static enum fault_action
delay_answer(struct fault *f, const struct fault_request *r, int64_t now_us)
{
	return ++f->late_count % f->late_every ? FAULT_PASS : FAULT_DELAY;
}

/* True in the phases with a fault; the first one begins at once. */
static bool flap_is_on(const struct fault *f, int64_t now_us)
{
	return (now_us - f->began_us) / f->period_us % 2 == 0;
}

static enum fault_action
flap_request(struct fault *f, const struct fault_request *r, int64_t now_us)
{
	if (!f->inner->on_request || !flap_is_on(f, now_us))
		return FAULT_PASS;
	return f->inner->on_request(f, r, now_us);
}

static enum fault_action
flap_answer(struct fault *f, const struct fault_request *r, int64_t now_us)
{
	if (!f->inner->on_answer || !flap_is_on(f, now_us))
		return FAULT_PASS;
	return f->inner->on_answer(f, r, now_us);
}

static int64_t flap_service_us(struct fault *f, int64_t us, int64_t now_us)
{
	if (!f->inner->service_us || !flap_is_on(f, now_us))
		return us;
	return f->inner->service_us(f, us, now_us);
}

static const struct fault_ops fault_modes[] = {
	{ .name = "none", .hidden_from_health = true },
	{ .name = "slow", .service_us = slow_service_us },
	{ .name = "errors", .on_answer = answer_error },
	{ .name = "half", .on_answer = answer_truncated },
	{ .name = "accept-silent", .on_request = stay_silent },
	{ .name = "no-accept", .refuses_connections = true },
	{ .name = "one-sided", .on_answer = stay_silent },
	{ .name = "flap",
	  .on_request = flap_request,
	  .on_answer = flap_answer,
	  .service_us = flap_service_us },
	{ .name = "silent-connections",
	  .silences_connections = true,
	  .hidden_from_health = true },
	{ .name = "close-after-read", .on_answer = close_reused_post },
	/* A worker that sheds load is still healthy. */
	{ .name = "shed",
	  .on_request = shed_request,
	  .hidden_from_health = true },
	{ .name = "drain", .draining = true },
	/* Sheds load and names the time for which it wants no requests. */
	{ .name = "pause",
	  .on_request = shed_request,
	  .names_pause = true,
	  .hidden_from_health = true },
	/* crossed does the same as late. Callers use it to test that an answer
	 * to a request that was given up does not reach the next request. */
	{ .name = "late", .on_answer = delay_answer },
	{ .name = "crossed", .on_answer = delay_answer },
};

#define FAULT_MODES (sizeof(fault_modes) / sizeof(fault_modes[0]))

const struct fault_ops *fault_find(const char *name)
{
	for (uint32_t i = 0; i < FAULT_MODES; i++)
		if (!strcmp(fault_modes[i].name, name))
			return &fault_modes[i];
	return NULL;
}

void fault_init(struct fault *f, uint64_t seed)
{
	memset(f, 0, sizeof(*f));
	f->ops = fault_find("none");
	prng_seed(&f->prng, seed);
}

static enum az_status fault_parse_mode(const char *value,
				       const struct fault_ops **out)
{
	char names[256] = "";

	*out = fault_find(value);
	if (*out)
		return AZ_OK;
	for (uint32_t i = 0; i < FAULT_MODES; i++) {
		strcat(names, " ");
		strcat(names, fault_modes[i].name);
	}
	return az_fail(AZ_INVALID, "unknown mode '%s'; one of:%s", value,
		       names);
}

static enum az_status fault_parse_field(struct fault *f, const char *key,
					const char *value)
{
	char *end;
	double v;

	if (!strcmp(key, "mode"))
		return fault_parse_mode(value, &f->ops);
	if (!strcmp(key, "inner"))
		return fault_parse_mode(value, &f->inner);
	v = strtod(value, &end);
	if (end == value || *end || !(v >= 0 && v <= 1e6))
		return az_fail(AZ_INVALID,
			       "%s: '%s' is not a number from 0 to 1000000",
			       key, value);
	if (!strcmp(key, "factor"))
		f->factor_percent = (uint32_t)(v * 100);
	else if (!strcmp(key, "percent"))
		f->percent = (uint32_t)v;
	else if (!strcmp(key, "every") && v >= 1)
		f->late_every = (uint32_t)v;
	else if (!strcmp(key, "ms"))
		f->late_ms = (int64_t)v;
	else if (!strcmp(key, "period_ms") && v >= 1)
		f->period_us = (int64_t)(v * US_PER_MS);
	else
		return az_fail(AZ_INVALID, "bad field '%s=%s'", key, value);
	return AZ_OK;
}

enum az_status fault_parse(struct fault *f, const char *query, int64_t now_us)
{
	struct fault new = { .factor_percent = 1000,
			     .percent = 100,
			     .late_every = 10,
			     .late_ms = 500,
			     .period_us = 2 * US_PER_S,
			     .began_us = now_us,
			     .inner = fault_find("errors"),
			     .prng = f->prng };
	char copy[256];
	char *save;

	if (strlen(query) >= sizeof(copy))
		return az_fail(AZ_INVALID, "query is too long");
	strcpy(copy, query);
	for (char *p = strtok_r(copy, "&", &save); p;
	     p = strtok_r(NULL, "&", &save)) {
		char *value = strchr(p, '=');
		enum az_status s;

		if (!value)
			return az_fail(AZ_INVALID, "field '%s' has no value",
				       p);
		*value++ = 0;
		s = fault_parse_field(&new, p, value);
		if (s != AZ_OK)
			return s;
	}
	if (!new.ops)
		return az_fail(AZ_INVALID, "mode is missing");
	/* flap inside flap would recurse without end. */
	if (new.inner->on_request == flap_request)
		return az_fail(AZ_INVALID, "the inner mode cannot be flap");
	*f = new;
	return AZ_OK;
}

enum fault_action
fault_on_request(struct fault *f, const struct fault_request *r, int64_t now_us)
{
	return f->ops->on_request ? f->ops->on_request(f, r, now_us) :
				    FAULT_PASS;
}

enum fault_action fault_on_answer(struct fault *f,
				  const struct fault_request *r, int64_t now_us)
{
	return f->ops->on_answer ? f->ops->on_answer(f, r, now_us) : FAULT_PASS;
}

int64_t fault_service_us(struct fault *f, int64_t us, int64_t now_us)
{
	return f->ops->service_us ? f->ops->service_us(f, us, now_us) : us;
}

bool fault_health_ok(const struct fault *f, int64_t lag_us, int64_t now_us)
{
	if (f->ops->draining)
		return false;
	return f->ops->hidden_from_health || now_us - f->began_us < lag_us;
}
