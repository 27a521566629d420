#include <errno.h>
#include <ini.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "cmd/azhd/azhd.h"

/* Requests; see max_in_flight in struct azhd_settings. */
#define MAX_IN_FLIGHT_DEFAULT 4096
#define MAX_IN_FLIGHT_LIMIT 8192
#define MEMBER_PERIOD_MS_DEFAULT 400
#define VMS_INTERVAL_MS_DEFAULT 2000
#define DRAIN_MS_DEFAULT 2000
#define STOP_TIMEOUT_MS_DEFAULT 30000
#define MEMORY_MB_DEFAULT 256
#define MEMORY_MB_MIN 32
#define MEMORY_MB_MAX (1 << 20)
#define DESCRIPTORS_MIN 128
#define DESCRIPTORS_MAX (1 << 20)
/* Retries: 0.1 % of the requests of a cell that serves 10000 in a minute. */
#define RETRY_SLACK_DEFAULT 10

struct settings_parse {
	const char *path;
	FILE *file;
	int32_t line; /**< current line, counted by read_line(), as inih is
			 built without passing it to the callback */
	struct azhd_settings *out;
	struct conf_errors *errors;
};

static void add_error(struct settings_parse *p, int32_t line,
		      const char *reason)
{
	uint32_t n = p->errors->count++;
	struct conf_error *e;

	if (n >= CONF_ERRORS_MAX)
		return;
	e = &p->errors->list[n];
	snprintf(e->file, sizeof(e->file), "%s", p->path);
	snprintf(e->reason, sizeof(e->reason), "%s", reason);
	e->line = line;
}

static enum az_status parse_address(const char *s, struct address *out)
{
	return net_parse(s, &out->ip, &out->port);
}

static enum az_status parse_number(const char *s, uint32_t low, uint32_t high,
				   uint32_t *out)
{
	char *end;
	unsigned long v = strtoul(s, &end, 10);

	if (end == s || *end || v < low || v > high)
		return az_fail(AZ_INVALID, "'%s' is not a number from %u to %u",
			       s, low, high);
	*out = (uint32_t)v;
	return AZ_OK;
}

static enum az_status parse_text(const char *s, char *out, size_t size)
{
	if (strlen(s) >= size)
		return az_fail(AZ_INVALID, "longer than %zu characters",
			       size - 1);
	strcpy(out, s);
	return AZ_OK;
}

/* Takes only the IP address of each entry and combines it with the port of this
 * daemon's `member` address, so "member" has to come first in the file. */
static enum az_status parse_seed_hosts(const char *s, struct azhd_settings *out)
{
	char copy[512];
	char *save = NULL;
	struct address a;

	snprintf(copy, sizeof(copy), "%s", s);
	for (char *t = strtok_r(copy, ", ", &save); t;
	     t = strtok_r(NULL, ", ", &save)) {
		enum az_status st = parse_address(t, &a);

		if (st != AZ_OK)
			return st;
		if (out->seed_count == SEEDS_MAX)
			return az_fail(AZ_INVALID, "more than %d seeds",
				       SEEDS_MAX);
		snprintf(out->seeds[out->seed_count++], sizeof(out->seeds[0]),
			 "%u.%u.%u.%u:%u", a.ip >> 24, a.ip >> 16 & 255,
			 a.ip >> 8 & 255, a.ip & 255, out->member.port);
	}
	return AZ_OK;
}

static enum az_status parse_seeds(const char *s, struct azhd_settings *out)
{
	char copy[512];
	char *save = NULL;
	struct address a;

	snprintf(copy, sizeof(copy), "%s", s);
	out->seed_count = 0;
	for (char *t = strtok_r(copy, ", ", &save); t;
	     t = strtok_r(NULL, ", ", &save)) {
		enum az_status st = parse_address(t, &a);

		if (st != AZ_OK)
			return st;
		if (out->seed_count == SEEDS_MAX)
			return az_fail(AZ_INVALID, "more than %d seeds",
				       SEEDS_MAX);
		snprintf(out->seeds[out->seed_count++], sizeof(out->seeds[0]),
			 "%s", t);
	}
	return AZ_OK;
}

static enum az_status set_address(struct azhd_settings *o, const char *key,
				  const char *v)
{
	if (!strcmp(key, "front"))
		return parse_address(v, &o->front);
	if (!strcmp(key, "ready"))
		return parse_address(v, &o->ready);
	if (!strcmp(key, "peer"))
		return parse_address(v, &o->peer);
	if (!strcmp(key, "peer_bind"))
		return parse_address(v, &o->peer_bind);
	if (!strcmp(key, "member"))
		return parse_address(v, &o->member);
	if (!strcmp(key, "admin"))
		return parse_address(v, &o->admin);
	return AZ_NOT_FOUND;
}

static enum az_status set_text(struct azhd_settings *o, const char *key,
			       const char *v)
{
	const struct {
		const char *key;
		char *out;
		size_t size;
	} fields[] = {
		{ "name", o->name, sizeof(o->name) },
		{ "data_centre", o->data_centre, sizeof(o->data_centre) },
		{ "region", o->region, sizeof(o->region) },
		{ "site", o->site, sizeof(o->site) },
		{ "admin_token", o->admin_token, sizeof(o->admin_token) },
		{ "base", o->base_path, sizeof(o->base_path) },
		{ "overlay", o->overlay_path, sizeof(o->overlay_path) },
		{ "store", o->store_address, sizeof(o->store_address) },
		{ "platform", o->platform_address,
		  sizeof(o->platform_address) },
	};

	for (uint32_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
		if (!strcmp(key, fields[i].key))
			return parse_text(v, fields[i].out, fields[i].size);
	return AZ_NOT_FOUND;
}

static enum az_status set_number_or_list(struct azhd_settings *o,
					 const char *key, const char *v)
{
	if (!strcmp(key, "seeds"))
		return parse_seeds(v, o);
	if (!strcmp(key, "seed_hosts"))
		return parse_seed_hosts(v, o);
	if (!strcmp(key, "retry_slack"))
		return parse_number(v, 0, 100000, &o->retry_slack);
	if (!strcmp(key, "log_level"))
		return log_level_parse(v, &o->log_level);
	if (!strcmp(key, "max_in_flight"))
		return parse_number(v, 1, MAX_IN_FLIGHT_LIMIT,
				    &o->max_in_flight);
	if (!strcmp(key, "member_period_ms"))
		return parse_number(v, 20, 60000, &o->member_period_ms);
	if (!strcmp(key, "vms_interval_ms"))
		return parse_number(v, 0, 600000, &o->vms_interval_ms);
	if (!strcmp(key, "drain_ms"))
		return parse_number(v, 0, 600000, &o->drain_ms);
	if (!strcmp(key, "stop_timeout_ms"))
		return parse_number(v, 0, 600000, &o->stop_timeout_ms);
	if (!strcmp(key, "memory_mb"))
		return parse_number(v, MEMORY_MB_MIN, MEMORY_MB_MAX,
				    &o->memory_mb);
	if (!strcmp(key, "max_descriptors"))
		return parse_number(v, DESCRIPTORS_MIN, DESCRIPTORS_MAX,
				    &o->max_descriptors);
	return az_fail(AZ_NOT_FOUND, "unknown key '%s'", key);
}

/* The limit of the process, within the range of the setting. */
static uint32_t process_max_descriptors(void)
{
	struct rlimit l;

	if (getrlimit(RLIMIT_NOFILE, &l) || l.rlim_cur > DESCRIPTORS_MAX)
		return DESCRIPTORS_MAX;
	return l.rlim_cur < DESCRIPTORS_MIN ? DESCRIPTORS_MIN :
					      (uint32_t)l.rlim_cur;
}

static enum az_status set_value(struct azhd_settings *o, const char *section,
				const char *key, const char *v)
{
	enum az_status st;

	if (!strcmp(section, "fleet")) {
		if (!strcmp(key, "keys"))
			return fleet_keys_parse(v, &o->keys);
		return az_fail(AZ_NOT_FOUND, "unknown key '%s'", key);
	}
	if (!strcmp(section, "bounds"))
		return platform_bounds_set(&o->bounds, key, v);
	/* The key is the name of a data centre, the value its region. */
	if (!strcmp(section, "places")) {
		buf_printf(&o->dc_section_text,
			   "[data_centre %s]\nregion = %s\n", key, v);
		return AZ_OK;
	}
	if (strcmp(section, "daemon") != 0)
		return az_fail(AZ_NOT_FOUND, "unknown section [%s]", section);
	st = set_address(o, key, v);
	if (st == AZ_NOT_FOUND)
		st = set_text(o, key, v);
	return st == AZ_NOT_FOUND ? set_number_or_list(o, key, v) : st;
}

static char *read_line(char *out, int size, void *arg)
{
	struct settings_parse *p = arg;

	p->line++;
	return fgets(out, size, p->file);
}

/* Callback of inih; `arg` is the same struct as for read_line(). Returns 1 also
 * after an error, so that all errors are collected. */
static int on_value(void *arg, const char *section, const char *key,
		    const char *value)
{
	struct settings_parse *p = arg;
	char reason[192];

	if (set_value(p->out, section, key, value) == AZ_OK)
		return 1;
	snprintf(reason, sizeof(reason), "[%s] %s: %s", section, key,
		 az_last_message());
	add_error(p, p->line, reason);
	return 1;
}

/* Adds an error for each required setting that is missing. */
static void check_required(struct settings_parse *p)
{
	const struct azhd_settings *o = p->out;

	if (!o->name[0])
		add_error(p, 0, "[daemon] name is missing");
	if (!o->data_centre[0])
		add_error(p, 0, "[daemon] data_centre is missing");
	if (!o->region[0])
		add_error(p, 0, "[daemon] region is missing");
	if (!o->front.port)
		add_error(p, 0, "[daemon] front is missing");
	if (!o->peer.port)
		add_error(p, 0, "[daemon] peer is missing");
	if (!o->member.port)
		add_error(p, 0, "[daemon] member is missing");
	if (o->admin.port && !o->admin_token[0])
		add_error(p, 0, "[daemon] admin needs admin_token");
	if (!o->base_path[0] && !o->store_address[0] && !o->platform_address[0])
		add_error(p, 0, "[daemon] base, store or platform is missing");
	if (!o->keys.count && !o->platform_address[0])
		add_error(p, 0, "[fleet] keys is missing");
}

enum az_status azhd_settings_load(const char *path, struct azhd_settings *out,
				  struct conf_errors *errors)
{
	struct settings_parse p = { path, fopen(path, "r"), 0, out, errors };
	int rv;

	memset(out, 0, sizeof(*out));
	memset(errors, 0, sizeof(*errors));
	out->log_level = LOG_INFO;
	out->max_in_flight = MAX_IN_FLIGHT_DEFAULT;
	out->member_period_ms = MEMBER_PERIOD_MS_DEFAULT;
	out->vms_interval_ms = VMS_INTERVAL_MS_DEFAULT;
	out->drain_ms = DRAIN_MS_DEFAULT;
	out->stop_timeout_ms = STOP_TIMEOUT_MS_DEFAULT;
	out->memory_mb = MEMORY_MB_DEFAULT;
	out->max_descriptors = process_max_descriptors();
	if (!p.file) {
		add_error(&p, 0, strerror(errno));
		return az_fail(AZ_INVALID, "cannot read %s", path);
	}
	out->retry_slack = RETRY_SLACK_DEFAULT;
	rv = ini_parse_stream(read_line, &p, on_value, &p);
	fclose(p.file);
	if (rv > 0)
		add_error(&p, rv, "not INI syntax");
	check_required(&p);
	/* The zero byte that ends the text. */
	buf_append(&out->dc_section_text, "", 1);
	/* The platform's bound on the length of a stop overrides
	 * stop_timeout_ms. */
	if (out->bounds.stop_grace_ms)
		out->stop_timeout_ms = out->bounds.stop_grace_ms;
	if (!out->peer_bind.port)
		out->peer_bind = out->peer;
	if (out->max_descriptors > process_max_descriptors())
		out->max_descriptors = process_max_descriptors();
	if (errors->count)
		return az_fail(AZ_INVALID, "%u errors in %s", errors->count,
			       path);
	return AZ_OK;
}
