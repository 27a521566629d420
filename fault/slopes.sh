#!/bin/sh
# Measures memory, processor time and traffic at several sizes, and fits a line
# to each by least squares. Prints "name value unit" lines; the last part of a
# name is the size: per cent of the planned size, workers, callers, or what the
# *_slopes program counts. FULL=1 adds failures in a modelled fleet of 3,700
# daemons, which takes 15 minutes and 6 GB.
cd "$(dirname "$0")/.." || exit 1
. fault/measure.sh

SEED=${SEED:-1}
DATA=$DIR/points

# Prints VALUE as measured at SIZE, for fit.awk.
point () { # NAME SIZE VALUE UNIT
	echo "slope.$1.$2 $3 $4"
}

seconds () {
	date +%s.%N
}

# ---- configuration of PERCENT of the planned size ----

# Writes a base file; the numbers in it are the planned size.

write_planned () { # PERCENT
	awk -v f="$1" 'BEGIN {
		services = int(840 * f / 100)
		routes = int(25000 * f / 100)
		workers = int(32000 * f / 100)
		organisations = int(98000 * f / 100)
		for (i = 0; i < 10; i++)
			printf "[data_centre bench-%d]\nregion = r%d\n", i, i % 3
		for (i = 0; i < services; i++)
			printf "[service s%04d]\nfloor_percent = 70\n", i
		for (i = 0; i < workers; i++)
			printf "[worker s%04d/w%05d]\naddress = " \
				"10.%d.%d.%d:8080\ndata_centre = bench-%d\n",
				i % services, i, int(i / 65536),
				int(i / 256) % 256, i % 256,
				int(i / services) % 10
		for (i = 0; i < routes; i++)
			printf "[route r%05d]\npath = /v1/s%04d/t%05d\n" \
				"methods = GET,HEAD\nservice = s%04d\n" \
				"rank = normal\nidempotent = yes\n",
				i, i % services, i, i % services
		for (i = 0; i < organisations; i++)
			printf "[organisation o%06d]\ntoken = t%06d\n" \
				"requests_per_s = 100\nburst = 20\n", i, i
	}'
}

# Start time, memory and idle processor time of a daemon with a base file.
measure_configuration () {
	for percent in 10 50 100
	do
		write_planned $percent >"$DIR/base.ini"
		PIDS=
		start=$(seconds)
		start_daemon 1
		wait_daemon 1
		point azhd_start_s $percent "$(calc "$(seconds) - $start")" s
		point azhd_start_cpu $percent \
			"$(calc "$(cpu_ticks "$PID_1") * 10")" ms
		sleep 2
		point azhd_memory $percent \
			"$(calc "$(memory_kb "$PID_1") / 1024")" MB
		point azhd_memory_peak $percent "$(calc "$(awk '/^VmHWM/ {
			print $2 }' /proc/"$PID_1"/status) / 1024")" MB
		ticks=$(cpu_ticks "$PID_1")
		sleep 10
		point azhd_idle_cpu $percent \
			"$(calc "($(cpu_ticks "$PID_1") - $ticks) / 10")" %
		kill -INT "$PID_1"
		wait "$PID_1"
		PIDS=
	done
}

# Waits until daemon N has read OBJECTS objects and built a configuration.
wait_conf () { # N OBJECTS
	tries=0
	until test "$(counter $1 conf_objects_taken)" -ge "$2" &&
		test "$(counter $1 conf_builds)" -ge 1
	do
		tries=$((tries + 1))
		test $tries -lt 600 || fail "daemon $1 has no configuration"
		sleep 0.1
	done
}

# Count of the store's GET /control/counts.
store_count () { # FIELD
	curl -s http://127.0.0.1:$((PORT + 201))/control/counts |
		sed 's/.*"'"$1"'":\([0-9]*\).*/\1/'
}

# Start of a daemon that reads its configuration from the store, then of one that
# gets it from that daemon while the store is down.
measure_store_start () {
	STORE=127.0.0.1:$((PORT + 200))
	for percent in 10 50 100
	do
		write_planned $percent >"$DIR/planned.ini"
		"$BIN"/fake/store_main --listen $STORE \
			--control 127.0.0.1:$((PORT + 201)) \
			2>"$DIR/store.log" &
		PID_s=$!
		PIDS=$PID_s
		sleep 0.5
		start=$(seconds)
		"$BIN"/bin/azhctl --store http://$STORE apply "$DIR/planned.ini" \
			>"$DIR/apply.log" 2>&1 || fail "apply: $(tail -n 3 \
			"$DIR/apply.log")"
		point azhctl_apply_s $percent "$(calc "$(seconds) - $start")" s
		point store_writes $percent "$(store_count put)" calls
		# One object for each service, 64 shards and the fleet.
		objects=$((840 * percent / 100 + 65))
		gets=$(store_count get)
		start=$(seconds)
		start_daemon 1
		wait_conf 1 $objects
		point store_start_s $percent "$(calc "$(seconds) - $start")" s
		point store_start_reads $percent $(($(store_count get) - gets)) \
			calls
		sleep 3
		point store_start_memory $percent \
			"$(calc "$(memory_kb "$PID_1") / 1024")" MB
		point store_start_memory_peak $percent "$(calc "$(awk '/^VmHWM/ {
			print $2 }' /proc/"$PID_1"/status) / 1024")" MB
		curl -s -X POST -o "$DIR/out" \
			"http://127.0.0.1:$((PORT + 201))/control/fault?mode=down"
		bytes=$(counter 1 peer_bytes_out)
		start=$(seconds)
		start_daemon 2
		wait_conf 2 $objects
		point peer_start_s $percent "$(calc "$(seconds) - $start")" s
		sleep 3
		point peer_start_builds $percent "$(counter 2 conf_builds)" \
			builds
		point peer_start_cpu $percent \
			"$(calc "$(cpu_ticks "$PID_2") * 10")" ms
		point peer_start_bytes $percent \
			$(($(counter 1 peer_bytes_out) - bytes)) B
		point peer_start_memory $percent \
			"$(calc "$(memory_kb "$PID_2") / 1024")" MB
		kill -INT "$PID_1" "$PID_2" $PID_s
		wait "$PID_1" "$PID_2" $PID_s
		PIDS=
	done
	STORE=
}

# ---- cells, workers, connections of one daemon ----

# Writes SERVICES services with 10 workers each; one process serves all workers.
write_cells () { # SERVICES
	printf '%s\n' "[data_centre bench-1]" "region = bench" \
		"[organisation bench]" "token = bench"
	s=1
	while test $s -le "$1"
	do
		cat <<-EOT
		[service s$s]
		health_path = /health
		rank_normal_queue_limit = 4096
		[route r$s]
		path = /s$s
		methods = GET
		service = s$s
		rank = normal
		idempotent = yes
		EOT
		w=1
		while test $w -le 10
		do
			cat <<-EOT
			[worker s$s/w$w]
			address = 127.0.$s.$w:$((PORT + 101))
			data_centre = bench-1
			slots = 255
			EOT
			w=$((w + 1))
		done
		s=$((s + 1))
	done
}

# Count of the worker's GET /counts.
worker_count () { # FIELD
	curl -s http://127.0.0.1:$((PORT + 102))/counts |
		sed 's/.*"'"$1"'":\([0-9]*\).*/\1/'
}

# Starts one process for all workers of write_cells.
start_worker () { # SERVICE_MS
	"$BIN"/fake/worker_main --name w --slots 8192 --backlog 8192 \
		--listen 0.0.0.0:$((PORT + 101)) \
		--control 127.0.0.1:$((PORT + 102)) --service-ms "$1" \
		--service-dist fixed --connect-ms 0 --probe-ms 1 \
		2>"$DIR/w.log" &
	PIDS="$PIDS $!"
	PID_w=$!
}

# Memory, idle processor time, probes and connections of a daemon that is the
# home of several services.
measure_cells () {
	for services in 4 16 32 60
	do
		write_cells $services >"$DIR/base.ini"
		PIDS=
		start_worker 1
		start_daemon 1
		wait_daemon 1
		sleep 1
		before=$(memory_kb "$PID_1")
		streams=
		s=1
		while test $s -le $services
		do
			streams="$streams --stream normal:GET:/s$s:20:5"
			s=$((s + 1))
		done
		"$BIN"/bin/azhload -t 127.0.0.1:$((PORT + 10)) $streams \
			--organisation bench --token bench --fail-on refused \
			--fail-on failed --fail-on lost --fail-on unsent \
			>"$DIR/out" 2>"$DIR/load.log" || fail "requests failed"
		after=$(memory_kb "$PID_1")
		n=$((services * 10))
		point home_workers_memory $n $(((after - before) * 1024)) B
		probes=$(worker_count probes)
		ticks=$(cpu_ticks "$PID_1")
		sleep 10
		point home_idle_cpu $n \
			"$(calc "($(cpu_ticks "$PID_1") - $ticks) / 10")" %
		point home_probes $n \
			"$(calc "($(worker_count probes) - $probes) / 10")" 1/s
		point home_connections $n "$(worker_count connections)" \
			connections
		kill -INT "$PID_1" "$PID_w"
		wait "$PID_1" "$PID_w"
		PIDS=
	done
}

# Memory of N callers that wait, each with its connection, for a slow worker: all
# N requests are sent within 0.5 s and none is answered before 2 s.
measure_callers () {
	write_cells 1 >"$DIR/base.ini"
	PIDS=
	start_worker 2000
	start_daemon 1
	wait_daemon 1
	sleep 1
	base=$(memory_kb "$PID_1")
	for n in 250 500 1000 2000
	do
		"$BIN"/bin/azhload -t 127.0.0.1:$((PORT + 10)) \
			--organisation bench --token bench --fail-on refused \
			--fail-on failed --fail-on lost --fail-on unsent \
			--connections 4096 --gaps fixed --deadline-ms 10000 \
			--stream normal:GET:/s1:$((n * 2)):0.5 \
			>"$DIR/out" 2>"$DIR/load.log" &
		load=$!
		sleep 1.6
		point caller_request_memory $n \
			$((($(memory_kb "$PID_1") - base) * 1024)) B
		wait $load || fail "requests failed"
	done
	kill -INT "$PID_1" "$PID_w"
	wait "$PID_1" "$PID_w"
	PIDS=
}

{
	load_average start
	for p in "$BIN"/*/*_slopes
	do
		"$p" || exit 1
	done
	measure_configuration
	measure_store_start
	measure_cells
	measure_callers
	"$BIN"/conf/conf_measure "$SEED" || exit 1
	test -z "$FULL" || "$BIN"/member/member_measure "$SEED" 3700 3700
	load_average end
} >"$DATA"
cat "$DATA"
awk -f fault/fit.awk "$DATA"
