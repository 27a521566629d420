/**
 * @file
 * Program: administration tool. Checks the fleet's configuration and writes it
 * to the store, and shows the objects in the store and the status of daemons.
 * Writes the operator's decisions about workers to the store too: a drained
 * worker gets no new requests, an ejected one is not used until it is restored.
 */
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <curl/curl.h>
#include <jansson.h>
#include <apr_general.h>

#include "conf/conf.h"

/** Exit status, 0 to 5 in this order. --help and
 * docs/operators/configuration.md list it too. */
enum exit_code {
	EXIT_DONE,
	EXIT_UNREACHABLE, /**< no store or daemon; a write may be incomplete */
	EXIT_BAD_INPUT, /**< nothing was written */
	EXIT_CONFLICT, /**< somebody else changed the store meanwhile */
	EXIT_TIMED_OUT, /**< of the wait command */
	EXIT_UNKNOWN, /**< a reply was lost; the write may have taken effect */
};

#define ARGS_MAX 256
#define WAIT_POLL_US 200000
/* All decisions about the workers of a service are in one object. A write that
 * conflicts with a decision about another worker is merged and tried again. */
#define DECISION_WRITE_ATTEMPTS 10

struct options {
	const char *store;
	const char *daemons; /**< "IP:PORT,..." */
	const char *token_file;
	const char *site; /**< with its overlay the configuration is read that a
			     decision is checked against; NULL: none */
	const char *if_digest; /**< expected digest of the store's objects, in
				  hexadecimal; NULL: any */
	uint32_t timeout_s;
	bool force;
	const char *command;
	const char *args[ARGS_MAX];
	uint32_t arg_count;
};

/* Errors in the configuration that was last read or checked. */
static struct conf_errors errors;

static void print_errors(void)
{
	uint32_t n =
		errors.count < CONF_ERRORS_MAX ? errors.count : CONF_ERRORS_MAX;

	for (uint32_t i = 0; i < n; i++)
		fprintf(stderr, "%s:%d: %s\n", errors.list[i].file,
			errors.list[i].line, errors.list[i].reason);
	if (errors.count > n)
		fprintf(stderr, "and %u more errors\n", errors.count - n);
}

static enum exit_code fail(enum az_status s)
{
	fprintf(stderr, "azhctl: %s\n", az_last_message());
	switch (s) {
	case AZ_CONFLICT:
		return EXIT_CONFLICT;
	case AZ_INVALID:
	case AZ_NOT_FOUND:
		return EXIT_BAD_INPUT;
	case AZ_TIMEOUT:
	default:
		return EXIT_UNREACHABLE;
	}
}

static enum exit_code bad_input(const char *reason)
{
	fprintf(stderr, "azhctl: %s\n", reason);
	return EXIT_BAD_INPUT;
}

/* ---- command check ---- */

static enum exit_code check_files(const char *base, const char *overlay)
{
	struct conf *c;

	if (conf_load_files(base, overlay, &c, &errors) != AZ_OK) {
		print_errors();
		return EXIT_BAD_INPUT;
	}
	conf_release(c);
	return EXIT_DONE;
}

/* File name in "SITE=FILE" or "FILE". */
static const char *overlay_file(const char *arg)
{
	const char *eq = strchr(arg, '=');

	return eq ? eq + 1 : arg;
}

static enum exit_code check(const struct options *o)
{
	enum exit_code worst = EXIT_DONE;

	if (!o->arg_count)
		return bad_input("check: BASE is missing");
	worst = check_files(o->args[0], NULL);
	for (uint32_t i = 1; i < o->arg_count; i++)
		if (check_files(o->args[0], overlay_file(o->args[i])) !=
		    EXIT_DONE)
			worst = EXIT_BAD_INPUT;
	return worst;
}

/* ---- administration API of the daemons ---- */

/* Returns "" if the file cannot be read. */
static char *read_file(const char *path)
{
	FILE *f = fopen(path, "r");
	struct buf b = { 0 };
	char chunk[65536];
	size_t n;

	while (f && (n = fread(chunk, 1, sizeof(chunk), f)))
		buf_append(&b, chunk, (uint32_t)n);
	if (f)
		fclose(f);
	buf_append(&b, "", 1);
	return (char *)b.data;
}

static size_t append_body(char *data, size_t size, size_t n, void *arg)
{
	buf_append(arg, data, (uint32_t)(size * n));
	return size * n;
}

/* Sends a GET to a daemon's administration API; appends the body to `out`. */
static enum az_status admin_get(const char *address, const char *path,
				const char *token, struct buf *out)
{
	CURL *h = curl_easy_init();
	struct curl_slist *headers = NULL;
	char line[512];
	long status = 0;
	CURLcode r;

	if (!h)
		return az_fail(AZ_NO_MEMORY, "libcurl failed");
	snprintf(line, sizeof(line), "Authorization: Bearer %s", token);
	headers = curl_slist_append(headers, line);
	snprintf(line, sizeof(line), "http://%s%s", address, path);
	curl_easy_setopt(h, CURLOPT_URL, line);
	curl_easy_setopt(h, CURLOPT_PROXY, "");
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, 3000L);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, out);
	r = curl_easy_perform(h);
	curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(h);
	if (r != CURLE_OK)
		return az_fail(AZ_IO, "daemon %s: %s", address,
			       curl_easy_strerror(r));
	if (status != 200)
		return az_fail(AZ_IO, "daemon %s: status %ld", address, status);
	return AZ_OK;
}

static char *read_token(const struct options *o)
{
	char *text = o->token_file ? read_file(o->token_file) : strdup("");

	if (text)
		text[strcspn(text, "\r\n")] = '\0';
	return text;
}

/* Calls `visit` for each address of --daemons until one call returns false;
 * returns the result of the last call. */
static bool for_each_daemon(const struct options *o,
			    bool (*visit)(const char *address,
					  const char *token, void *arg),
			    void *arg)
{
	char *list = strdup(o->daemons);
	char *token = read_token(o);
	char *rest = NULL;
	bool ok = true;

	for (char *a = strtok_r(list, ",", &rest); a && ok;
	     a = strtok_r(NULL, ",", &rest))
		ok = visit(a, token, arg);
	free(list);
	free(token);
	return ok;
}

/* Returns the daemon's parsed status page; NULL if it cannot be read. */
static json_t *read_status(const char *address, const char *token)
{
	struct buf b = { 0 };
	json_t *root = NULL;

	if (admin_get(address, "/status", token, &b) == AZ_OK) {
		root = json_loadb((char *)b.data, b.len_bytes, 0, NULL);
		if (!root)
			az_fail(AZ_IO, "daemon %s: malformed status", address);
	}
	buf_free(&b);
	return root;
}

/* Merges the object versions that a daemon reports into the store_list in
 * `arg`, which keeps the highest version of each object. False if the daemon's
 * status cannot be read. */
static bool add_versions(const char *address, const char *token, void *arg)
{
	json_t *root = read_status(address, token);
	struct store_list *l = arg;
	const char *key;
	json_t *v;

	json_object_foreach(
		json_object_get(json_object_get(root, "configuration"),
				"objects"),
		key, v)
	{
		uint64_t version = (uint64_t)json_integer_value(v);
		uint32_t i = 0;

		while (i < l->count && strcmp(l->objects[i].key, key) != 0)
			i++;
		if (i == l->count) {
			l->objects = realloc(l->objects,
					     (i + 1) * sizeof(*l->objects));
			if (!l->objects)
				abort();
			memset(&l->objects[i], 0, sizeof(*l->objects));
			snprintf(l->objects[i].key, CONF_KEY_MAX_BYTES, "%s",
				 key);
			l->count++;
		}
		if (version > l->objects[i].version)
			l->objects[i].version = version;
	}
	json_decref(root);
	return root != NULL;
}

/* ---- command apply ---- */

/** Objects of one configuration file, and the writes that put them into the
 * store. */
struct file_plan {
	struct conf_split_object *objects;
	uint32_t object_count;
	struct conf_planned_write *planned_writes;
	uint32_t planned_count;
};

/* Plans the writes for the base file (`site` NULL, `overlay` is not read), or
 * for the overlay of `site` over it.
 * `stored` is what the store holds. `daemon_versions` are the versions that
 * daemons hold: an object of which a daemon has a newer version is written even
 * if its text is as wanted. */
static enum az_status plan_file(const struct store_list *stored,
				const struct store_list *daemon_versions,
				const char *base, const char *overlay,
				const char *site, struct file_plan *out)
{
	char prefix[CONF_KEY_MAX_BYTES] = CONF_PREFIX "base/";
	struct ini_doc *d = ini_doc_create();
	char *text = read_file(base);
	enum az_status r;

	ini_doc_read(d, base, text, &errors);
	free(text);
	if (site) {
		text = read_file(overlay);
		ini_doc_read(d, overlay, text, &errors);
		free(text);
		snprintf(prefix, sizeof(prefix), CONF_PREFIX "site/%s/", site);
	}
	r = conf_split(d, site, &out->objects, &out->object_count);
	ini_doc_destroy(d);
	if (r == AZ_OK)
		out->planned_count = conf_plan_writes(
			stored, daemon_versions, prefix, out->objects,
			out->object_count, &out->planned_writes);
	return r;
}

/* Tells the operator how to find out whether a write whose reply was lost took
 * effect. */
static enum exit_code fail_unknown(const struct store_write *w)
{
	fprintf(stderr,
		"azhctl: %s\n"
		"azhctl: once the store answers, run `azhctl show %s`: if the "
		"first line has the id of this write, it took effect; if not, "
		"a later write may have replaced it. If the object is not as "
		"wanted, run the same command again\n",
		az_last_message(), w->key);
	return EXIT_UNKNOWN;
}

static enum exit_code
perform_writes(struct store *s, const struct conf_planned_write *planned_writes,
	       uint32_t count, uint64_t write_id)
{
	struct store_write w;

	for (uint32_t i = 0; i < count; i++) {
		enum az_status r =
			conf_perform_write(s, &planned_writes[i], write_id, &w);

		if (r != AZ_OK) {
			fprintf(stderr,
				"azhctl: write %016" PRIx64 " stopped at %s; "
				"objects written before it: %u of %u\n",
				write_id, planned_writes[i].key, i, count);
			return w.outcome_unknown ? fail_unknown(&w) : fail(r);
		}
		printf("%s %s version %" PRIu64 "\n",
		       planned_writes[i].deleted ? "deleted" : "wrote",
		       planned_writes[i].key, w.version);
	}
	return EXIT_DONE;
}

static enum exit_code print_digest(struct store *s)
{
	struct store_list l;
	enum az_status r = conf_store_read(s, &l);

	if (r != AZ_OK)
		return fail(r);
	printf("digest %016" PRIx64 "\n", conf_store_digest(&l));
	store_list_free(&l);
	return EXIT_DONE;
}

/* Order of the writes of all files; see enum phase in conf/apply.c. */
static int compare_phase(const void *a, const void *b)
{
	const struct conf_planned_write *x = a;
	const struct conf_planned_write *y = b;

	return x->phase < y->phase ? -1 : x->phase > y->phase;
}

static enum exit_code apply_files(struct store *s, const struct options *o,
				  const struct store_list *stored,
				  const struct store_list *daemon_versions)
{
	struct file_plan *plans = calloc(o->arg_count, sizeof(*plans));
	uint64_t write_id = random_u64();
	struct conf_planned_write *all_writes = NULL;
	enum exit_code code = EXIT_DONE;
	enum az_status r = AZ_OK;
	uint32_t all_write_count = 0;

	if (!plans)
		abort();
	for (uint32_t i = 0; i < o->arg_count && r == AZ_OK; i++) {
		char site[CONF_NAME_MAX_BYTES] = "";

		if (i)
			snprintf(site, sizeof(site), "%.*s",
				 (int)strcspn(o->args[i], "="), o->args[i]);
		r = plan_file(stored, daemon_versions, o->args[0],
			      overlay_file(o->args[i]), i ? site : NULL,
			      &plans[i]);
		all_writes = realloc(all_writes,
				     (all_write_count + plans[i].planned_count +
				      1) * sizeof(*all_writes));
		if (!all_writes)
			abort();
		if (plans[i].planned_count)
			memcpy(all_writes + all_write_count,
			       plans[i].planned_writes,
			       plans[i].planned_count * sizeof(*all_writes));
		all_write_count += plans[i].planned_count;
	}
	qsort(all_writes, all_write_count, sizeof(*all_writes), compare_phase);
	if (r != AZ_OK) {
		code = fail(r);
	} else if (conf_check_sites(stored, all_writes, all_write_count,
				    &errors) != AZ_OK) {
		print_errors();
		code = EXIT_BAD_INPUT;
	} else {
		code = perform_writes(s, all_writes, all_write_count, write_id);
	}
	if (code == EXIT_DONE)
		printf("write %016" PRIx64 " objects %u\n", write_id,
		       all_write_count);
	for (uint32_t i = 0; i < o->arg_count; i++) {
		conf_split_free(plans[i].objects, plans[i].object_count);
		free(plans[i].planned_writes);
	}
	free(plans);
	free(all_writes);
	return code;
}

static enum exit_code apply(const struct options *o, struct store *s)
{
	enum exit_code code = EXIT_DONE;
	struct store_list daemon_versions = { 0 };
	struct store_list stored;
	enum az_status r;

	if (!o->arg_count)
		return bad_input("apply: BASE is missing");
	for (uint32_t i = 1; i < o->arg_count; i++)
		if (!strchr(o->args[i], '=') || *o->args[i] == '=')
			return bad_input("apply: an overlay is not SITE=FILE");
	code = check(o);
	if (code != EXIT_DONE)
		return code;
	r = conf_store_read(s, &stored);
	if (r != AZ_OK)
		return fail(r);
	if (o->if_digest &&
	    strtoull(o->if_digest, NULL, 16) != conf_store_digest(&stored)) {
		fprintf(stderr,
			"azhctl: the store has changed since --if-digest: its "
			"digest is %016" PRIx64 "\n",
			conf_store_digest(&stored));
		code = EXIT_CONFLICT;
	} else if (o->daemons &&
		   !for_each_daemon(o, add_versions, &daemon_versions)) {
		code = fail(AZ_IO);
	} else {
		code = apply_files(s, o, &stored, &daemon_versions);
	}
	store_list_free(&stored);
	store_list_free(&daemon_versions);
	return code == EXIT_DONE ? print_digest(s) : code;
}

/* ---- command show ---- */

static enum exit_code show(const struct options *o, struct store *s)
{
	struct store_list l;
	struct conf_header h;
	enum az_status r = conf_store_read(s, &l);
	bool found = !o->arg_count;

	if (r != AZ_OK)
		return fail(r);
	for (uint32_t i = 0; i < l.count; i++) {
		const struct store_object *x = &l.objects[i];

		conf_header_parse((char *)x->value.data, &h);
		if (!o->arg_count)
			printf("%s version %" PRIu64 " write %016" PRIx64
			       " bytes %u%s\n",
			       x->key, x->version, h.writes[0],
			       x->value.len_bytes,
			       x->deleted ? " deleted" : "");
		else if (!strcmp(x->key, o->args[0]))
			found = printf("%s", (char *)x->value.data) >= 0;
	}
	if (!o->arg_count)
		printf("digest %016" PRIx64 "\n", conf_store_digest(&l));
	store_list_free(&l);
	return found ? EXIT_DONE : bad_input("the store has no such object");
}

/* ---- commands drain, eject, restore ---- */

/* Key of the object that holds the decisions about the service of `worker`
 * ("SERVICE/WORKER"). */
static void operator_key(char out[CONF_KEY_MAX_BYTES], const char *worker)
{
	snprintf(out, CONF_KEY_MAX_BYTES, CONF_PREFIX "operator/%.*s",
		 (int)strcspn(worker, "/"), worker);
}

/* True if without the worker `name` less than floor_percent of the service's
 * workers are in service. */
static bool is_below_floor(const struct conf_service *s, const char *name)
{
	uint32_t in_service = 0;

	for (uint32_t i = 0; i < s->worker_count; i++)
		in_service += s->workers[i].admin == WORKER_IN_SERVICE &&
			      strcmp(s->workers[i].name, name) != 0;
	return in_service * 100 < s->worker_count * s->floor_percent;
}

/* Fails if the worker is not in the stored configuration, or if the decision
 * takes its service below the floor without --force. The argument of the
 * command is known to have a slash. */
static enum az_status check_decision(const struct options *o,
				     const struct store_list *stored,
				     enum worker_admin admin)
{
	struct conf_table *t = conf_table_create(o->site ? o->site : "");
	const char *slash = strchr(o->args[0], '/');
	enum az_status r = AZ_NOT_FOUND;
	char service[CONF_NAME_MAX_BYTES];
	const struct conf_service *v;
	struct conf *c;

	for (uint32_t i = 0; i < stored->count; i++)
		conf_table_put(t, stored->objects[i].key, 1,
			       stored->objects[i].deleted ?
				       NULL :
				       (char *)stored->objects[i].value.data,
			       stored->objects[i].value.len_bytes);
	snprintf(service, sizeof(service), "%.*s", (int)(slash - o->args[0]),
		 o->args[0]);
	conf_table_build(t, &c, &errors);
	v = c ? conf_find_service(c, service) : NULL;
	for (uint32_t i = 0; v && i < v->worker_count; i++)
		if (!strcmp(v->workers[i].name, slash + 1))
			r = AZ_OK;
	if (r != AZ_OK)
		az_fail(r,
			"the configuration in the store has no worker %s "
			"(one of an overlay needs --site)",
			o->args[0]);
	else if (admin != WORKER_IN_SERVICE && !o->force &&
		 is_below_floor(v, slash + 1))
		r = az_fail(
			AZ_INVALID,
			"without %s less than %u %% of the service's workers, "
			"its floor, are in service (--force overrides)",
			o->args[0], v->floor_percent);
	conf_release(c);
	conf_table_destroy(t);
	return r;
}

/* A missing object counts as an empty one with revision 0. */
static enum az_status read_decisions(struct store *s, const char *key,
				     struct store_object *out)
{
	enum az_status r = store_get(s, key, out);

	if (r != AZ_NOT_FOUND)
		return r;
	memset(out, 0, sizeof(*out));
	return AZ_OK;
}

/* Writes the decision about `worker` into the object of its service. Tries
 * again with the new contents if somebody else changed the object meanwhile,
 * unless the change concerns the same worker. Writes an unchanged decision
 * again if a daemon holds a newer version of the object than the store.
 * `highest_version` is the highest one of any object in the store and at the
 * daemons. */
static enum az_status write_decision(struct store *s, const char *worker,
				     enum worker_admin admin,
				     uint64_t highest_version,
				     const struct store_list *daemon_versions,
				     struct store_write *w)
{
	enum worker_admin first_decision = WORKER_IN_SERVICE;
	struct conf_planned_write planned = { 0 };
	enum az_status r = AZ_CONFLICT;
	uint64_t daemon_version = 0;

	operator_key(planned.key, worker);
	for (uint32_t i = 0; i < daemon_versions->count; i++)
		if (!strcmp(daemon_versions->objects[i].key, planned.key))
			daemon_version = daemon_versions->objects[i].version;
	for (uint32_t i = 0; i < DECISION_WRITE_ATTEMPTS && r == AZ_CONFLICT;
	     i++) {
		struct buf text = { 0 };
		struct store_object current;
		enum worker_admin decision;

		r = read_decisions(s, planned.key, &current);
		if (r != AZ_OK)
			return r;
		memset(&planned.base, 0, sizeof(planned.base));
		if (current.revision)
			conf_header_parse((char *)current.value.data,
					  &planned.base);
		planned.if_revision = current.revision;
		planned.highest_known_version =
			current.version > highest_version ? current.version :
							    highest_version;
		decision = conf_get_worker_admin((char *)current.value.data,
						 worker);
		if (!i)
			first_decision = decision;
		if (decision != first_decision && decision != admin) {
			r = az_fail(AZ_CONFLICT,
				    "the decision about %s was changed by "
				    "write %016" PRIx64,
				    worker, planned.base.writes[0]);
			i = DECISION_WRITE_ATTEMPTS; /* no further attempt */
		} else if (decision != admin ||
			   current.version < daemon_version) {
			conf_set_worker_admin((char *)current.value.data,
					      worker, admin, &text);
			planned.text = (char *)text.data;
			r = conf_perform_write(s, &planned, random_u64(), w);
		}
		buf_free(&text);
		store_object_free(&current);
	}
	return r;
}

static enum exit_code decide(const struct options *o, struct store *s)
{
	enum worker_admin admin =
		!strcmp(o->command, "drain") ? WORKER_DRAINING :
		!strcmp(o->command, "eject") ? WORKER_EJECTED :
					       WORKER_IN_SERVICE;
	struct store_list daemon_versions = { 0 };
	struct store_write w = { 0 };
	struct store_list stored;
	uint64_t highest_version;
	enum az_status r;

	if (o->arg_count != 1 || !strchr(o->args[0], '/'))
		return bad_input("the argument must be one SERVICE/WORKER");
	r = conf_store_read(s, &stored);
	if (r != AZ_OK)
		return fail(r);
	r = check_decision(o, &stored, admin);
	highest_version = conf_highest_version(&stored);
	store_list_free(&stored);
	if (r == AZ_OK && o->daemons &&
	    !for_each_daemon(o, add_versions, &daemon_versions))
		r = AZ_IO;
	if (r == AZ_OK) {
		if (conf_highest_version(&daemon_versions) > highest_version)
			highest_version =
				conf_highest_version(&daemon_versions);
		r = write_decision(s, o->args[0], admin, highest_version,
				   &daemon_versions, &w);
	}
	store_list_free(&daemon_versions);
	if (w.outcome_unknown)
		return fail_unknown(&w);
	return r == AZ_OK ? print_digest(s) : fail(r);
}

/* ---- commands status and wait ---- */

static bool print_status(const char *address, const char *token, void *arg)
{
	enum exit_code *code = arg;
	struct buf b = { 0 };
	enum az_status r = admin_get(address, "/status", token, &b);

	if (r == AZ_OK)
		printf("%.*s\n", (int)b.len_bytes, (char *)b.data);
	else
		*code = fail(r);
	buf_free(&b);
	return true;
}

/* Sets az_last_message() to the reason if the daemon does not have the digest
 * in `arg` in force. */
static bool has_digest(const char *address, const char *token, void *arg)
{
	const char *expected = arg;
	json_t *root = read_status(address, token);
	const char *actual = json_string_value(json_object_get(
		json_object_get(root, "configuration"), "digest_in_force"));
	bool equal = actual && !strcmp(actual, expected);

	if (root && !equal)
		az_fail(AZ_TIMEOUT, "daemon %s has digest %s in force", address,
			actual ? actual : "none");
	json_decref(root);
	return equal;
}

static enum exit_code wait_for(const struct options *o, struct store *s)
{
	int64_t until_us = clock_now_us() + o->timeout_s * US_PER_S;
	char expected[32];
	struct store_list l;
	enum az_status r;

	if (o->arg_count) {
		snprintf(expected, sizeof(expected), "%s", o->args[0]);
	} else {
		r = conf_store_read(s, &l);
		if (r != AZ_OK)
			return fail(r);
		snprintf(expected, sizeof(expected), "%016" PRIx64,
			 conf_store_digest(&l));
		store_list_free(&l);
	}
	while (!for_each_daemon(o, has_digest, expected)) {
		if (clock_now_us() >= until_us) {
			fprintf(stderr, "azhctl: %s, expected %s\n",
				az_last_message(), expected);
			return EXIT_TIMED_OUT;
		}
		usleep(WAIT_POLL_US);
	}
	printf("digest %s in force\n", expected);
	return EXIT_DONE;
}

/* ---- command line ---- */

static const char doc[] =
	"Administers the configuration of a fleet.\v"
	"Commands:\n"
	"  check BASE [OVERLAY...]        check configuration files\n"
	"  apply BASE [SITE=OVERLAY...]   write changed objects to the store\n"
	"  show [KEY]                     list the store's objects, or print one\n"
	"  drain SERVICE/WORKER           send no new requests to a worker\n"
	"  eject SERVICE/WORKER           do not use a worker until restored\n"
	"  restore SERVICE/WORKER         put a worker back into service\n"
	"  status                         print the status page of each daemon\n"
	"  wait [DIGEST]                  wait until each daemon has DIGEST (by\n"
	"                                 default the store's) in force\n"
	"\n"
	"DIGEST identifies a state of all objects in the store; show without KEY "
	"and each command that writes print it.\n"
	"\n"
	"Exit status: 0 done; 1 store or daemon unreachable, run the command "
	"again; 2 bad input, nothing was written; 3 the store was changed by "
	"another write; 4 wait timed out; 5 a reply was lost and it is unknown "
	"whether the write took effect, check with show; 64 usage.";

static const struct argp_option argp_options[] = {
	{ "store", 's', "URL", 0, "URL of the platform's object API", 0 },
	{ "daemons", 'd', "ADDRESSES", 0,
	  "administration addresses of daemons, IP:PORT separated by commas. A "
	  "command that writes also rewrites an object if one of them holds a "
	  "newer version of it than the store, which happens when the store was "
	  "restored from a backup",
	  0 },
	{ "token-file", 't', "FILE", 0, "token of the administration API", 0 },
	{ "site", 'i', "SITE", 0,
	  "site whose overlay is applied when drain, eject and restore look up "
	  "the worker",
	  0 },
	{ "if-digest", 'g', "DIGEST", 0,
	  "apply only if the store still has this digest", 0 },
	{ "timeout", 'w', "SECONDS", 0, "time limit of wait; default 30", 0 },
	{ "force", 'f', NULL, 0,
	  "drain or eject a worker also if fewer than the floor of its service "
	  "stay in service",
	  0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 's':
		o->store = arg;
		return 0;
	case 'd':
		o->daemons = arg;
		return 0;
	case 't':
		o->token_file = arg;
		return 0;
	case 'i':
		o->site = arg;
		return 0;
	case 'g':
		o->if_digest = arg;
		return 0;
	case 'w':
		o->timeout_s = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'f':
		o->force = true;
		return 0;
	case ARGP_KEY_ARG:
		if (!o->command)
			o->command = arg;
		else if (o->arg_count < ARGS_MAX)
			o->args[o->arg_count++] = arg;
		else
			argp_error(state, "too many arguments");
		return 0;
	case ARGP_KEY_END:
		if (!o->command)
			argp_error(state, "COMMAND is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/** A command of the command line. */
struct command {
	const char *name;
	enum exit_code (*run)(const struct options *o, struct store *s);
	bool needs_daemons; /**< --daemons must be given */
};

static enum exit_code run_check(const struct options *o, struct store *s)
{
	enum exit_code code = check(o);

	(void)s;
	if (code == EXIT_DONE)
		printf("ok\n");
	return code;
}

static enum exit_code run_status(const struct options *o, struct store *s)
{
	enum exit_code code = EXIT_DONE;

	(void)s;
	for_each_daemon(o, print_status, &code);
	return code;
}

static bool needs_store(const struct options *o)
{
	return strcmp(o->command, "check") != 0 &&
	       strcmp(o->command, "status") != 0 &&
	       !(o->arg_count && !strcmp(o->command, "wait"));
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		argp_options, parse_option, "COMMAND [ARGUMENT...]", doc, NULL,
		NULL,	      NULL
	};
	static const struct command commands[] = {
		{ "check", run_check, false },	{ "apply", apply, false },
		{ "show", show, false },	{ "drain", decide, false },
		{ "eject", decide, false },	{ "restore", decide, false },
		{ "status", run_status, true }, { "wait", wait_for, true },
	};
	struct options o = { .timeout_s = 30 };
	const struct command *c = NULL;
	struct store *s = NULL;
	enum exit_code code;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	for (uint32_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (!strcmp(commands[i].name, o.command))
			c = &commands[i];
	if (!c)
		return bad_input("unknown command (see --help)");
	if (c->needs_daemons && !o.daemons)
		return bad_input("--daemons is missing");
	apr_initialize();
	if (needs_store(&o)) {
		if (!o.store)
			return bad_input("--store is missing");
		s = store_create(o.store);
		if (!s)
			return bad_input("libcurl failed");
	}
	code = c->run(&o, s);
	store_destroy(s);
	return code;
}
