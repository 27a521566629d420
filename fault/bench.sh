#!/bin/sh
# Measures the added latency, the sustained request rate, the processor time and
# the memory of one, two and three daemons between caller and worker, on
# loopback. Prints "name value unit" lines.
#
# Only d2 is in the data centre of the workers, so it is their home: the daemon
# that schedules requests onto them. d1 and d3 are each alone in another data
# centre. Paths:
#   direct     load tool -> worker
#   one        d2 is entry (issuer) and home
#   two        d1 is entry (issuer), d2 is home
#   three      d1 is entry, d3 issued the ticket, d2 is home
# The counters of each daemon are compared with the number of requests; the run
# ends with an error if the requests did not take the path.
#
# LOW_RATE, LOW_SECONDS, STEP_SECONDS and RATES set the load, ROUNDS is how often
# the low rate is repeated. Latency is that of the answered attempt, without the
# attempt that fetched its ticket.
cd "$(dirname "$0")/.." || exit 1
LOW_RATE=${LOW_RATE:-200}
LOW_SECONDS=${LOW_SECONDS:-10}
ROUNDS=${ROUNDS:-3}
STEP_SECONDS=${STEP_SECONDS:-4}
RATES=${RATES:-"1000 2000 3000 4000 6000 8000 10000 12000 16000 20000"}
# A rate counts as sustained ("held") up to this p99 latency; above it queues
# build up.
HELD_P99_MS=20
. fault/measure.sh

write_base () {
	printf '[data_centre bench-%d]\nregion = bench\n' 1 2 3
	cat <<-EOT
	[service bench]
	floor_percent = 50
	rank_urgent_queue_limit = 4096
	rank_normal_queue_limit = 4096
	[route read]
	path = /read
	methods = GET
	service = bench
	rank = normal
	idempotent = yes
	[route write]
	path = /write
	methods = POST
	service = bench
	rank = normal
	idempotent = no
	[organisation bench]
	token = bench
	EOT
	for w in 1 2 3 4
	do
		cat <<-EOT
		[worker bench/w$w]
		address = 127.0.0.1:$((PORT + 100 + w))
		data_centre = bench-2
		slots = 32
		EOT
	done
}

# Field of the load tool's JSON report in $DIR/out, for the rank normal.
report_field () { # NAME
	sed 's/.*"normal":{[^}]*"'"$1"'":\([0-9.]*\).*/\1/' "$DIR/out"
}

# Sends RATE requests per second for SECONDS along PATH; the report goes to
# $DIR/out. Sets sent and answered, and for each daemon the increase of its
# counters and its processor time in ticks of 10 ms.
run () { # PATH METHOD RATE SECONDS
	path=$1
	options="--route /read"
	test "$2" = GET || options="--route /write"
	case $path in
	direct)
		options="$options --bare"
		for w in 1 2 3 4
		do
			options="$options -t 127.0.0.1:$((PORT + 100 + w))"
		done ;;
	one) options="$options -t 127.0.0.1:$((PORT + 20))" ;;
	two) options="$options -t 127.0.0.1:$((PORT + 10))" ;;
	three)
		options="$options -t 127.0.0.1:$((PORT + 10))
			--ticket-target 127.0.0.1:$((PORT + 30))" ;;
	esac
	for n in 1 2 3
	do
		for c in front_requests attempt_requests home_grants
		do
			eval "before_${n}_$c=$(counter $n $c)"
		done
		eval "ticks_$n=\$(cpu_ticks \$PID_$n)"
	done
	"$BIN"/bin/azhload --json --method "$2" --rate "$3" --seconds "$4" \
		--organisation bench --token bench --deadline-ms 2000 \
		--retries 0 --repeats 1 --connections 1024 $options \
		>"$DIR/out" 2>"$DIR/load.log"
	sent=$(report_field sent)
	answered=$(report_field answered)
	test -n "$sent" || fail "the load tool printed no report"
	for n in 1 2 3
	do
		for c in front_requests attempt_requests home_grants
		do
			eval "${c}_$n=\$(($(counter $n $c) - before_${n}_$c))"
		done
		eval "ticks_$n=\$((\$(cpu_ticks \$PID_$n) - ticks_$n))"
	done
}

# Fails unless the entry, the issuer and the home of the path did their part of
# the work and no other daemon did.
check_path () {
	entry=1 issuer=1
	case $path in
	direct) entry=0 issuer=0 ;;
	one) entry=2 issuer=2 ;;
	three) issuer=3 ;;
	esac
	for n in 1 2 3
	do
		eval "front=\$front_requests_$n attempts=\$attempt_requests_$n \
			grants=\$home_grants_$n"
		want_front=0 want_attempts=0 want_grants=0
		test $n != $entry || want_front=$sent
		test $n != $issuer || want_attempts=$sent \
			want_front=$((front > want_front ? front : want_front))
		test $n != 2 || test $path = direct || want_grants=$sent
		test "$front" -ge $want_front &&
			test "$attempts" -ge $want_attempts &&
			test "$grants" -ge $want_grants ||
			fail "$path: daemon $n: front requests $front of" \
				"$want_front, attempts $attempts of" \
				"$want_attempts, grants $grants of $want_grants"
		test $want_attempts -gt 0 || test "$attempts" = 0 ||
			fail "$path: unexpected attempts at daemon $n"
		test $want_grants -gt 0 || test "$grants" = 0 ||
			fail "$path: unexpected grants at daemon $n"
	done
}

write_base >"$DIR/base.ini"
for w in 1 2 3 4
do
	"$BIN"/fake/worker_main --name w$w --slots 64 --backlog 4096 \
		--listen 127.0.0.1:$((PORT + 100 + w)) --service-ms 1 \
		--service-dist fixed --connect-ms 0 2>"$DIR/w$w.log" &
	PIDS="$PIDS $!"
done
for n in 1 2 3
do
	start_daemon $n
done
# Lets the daemons find each other.
sleep 3
for n in 1 2 3
do
	test "$(counter $n member_live)" = 3 ||
		fail "daemon $n does not see all members"
done
for n in 1 2 3
do
	eval "p=\$PID_$n"
	echo "bench.idle.d$n.memory $(calc "$(memory_kb "$p") / 1024") MB"
done
load_average start
eval "t1=\$(cpu_ticks $PID_1) t2=\$(cpu_ticks $PID_2)"
sleep 10
# A tick is 10 ms, so ticks per 10 s and divided by 10 are per cent of a core.
echo "bench.idle.d1.cpu $(calc "($(cpu_ticks $PID_1) - $t1) / 10") %"
echo "bench.idle.d2.cpu $(calc "($(cpu_ticks $PID_2) - $t2) / 10") %"

paths="direct:GET one:GET two:GET direct:POST one:POST two:POST three:POST"
# Warm-up of each path, not reported.
for p in $paths
do
	run ${p%:*} ${p#*:} 50 1
done
round=1
while test $round -le $ROUNDS
do
	for p in $paths
	do
		run ${p%:*} ${p#*:} $LOW_RATE $LOW_SECONDS
		test "$answered" = "$sent" || fail "$p: $(cat "$DIR/out")"
		check_path
		name=bench.low.$(echo "${p#*:}" | tr A-Z a-z).$path
		p50=$(report_field attempt_p50_ms) p99=$(report_field attempt_p99_ms)
		echo "$name.p50.$round $p50 ms"
		echo "$name.p99.$round $p99 ms"
		if test $path = direct
		then
			direct50=$p50 direct99=$p99
			continue
		fi
		echo "$name.added_p50.$round $(calc "$p50 - $direct50") ms"
		echo "$name.added_p99.$round $(calc "$p99 - $direct99") ms"
	done
	# hops_main measures thread wake-ups alone, for about as many as there are
	# on the way through one, two and three daemons.
	for h in 8 12 20
	do
		"$BIN"/fault/hops_main $h | sed "s/^/bench.low./; s/ /.$round /"
	done
	load_average low.$round
	round=$((round + 1))
done

for p in direct:GET one:GET two:GET one:POST three:POST
do
	held=0 # highest rate so far that was sustained
	name=bench.rate.$(echo "${p#*:}" | tr A-Z a-z).${p%:*}
	for rate in $RATES
	do
		run ${p%:*} ${p#*:} "$rate" "$STEP_SECONDS"
		p99=$(report_field attempt_p99_ms)
		test "$answered" = "$sent" &&
			awk "BEGIN { exit !($p99 <= $HELD_P99_MS) }" || break
		check_path
		held=$rate held_p99=$p99
		for n in 1 2 3
		do
			eval "used=\$ticks_$n"
			eval "us_$n=$(calc "$used * 10000 / $sent")"
		done
	done
	echo "$name.held $held requests/s"
	test $held -gt 0 || continue
	echo "$name.p99 $held_p99 ms"
	test $path != direct || continue
	for n in 1 2 3
	do
		eval "us=\$us_$n"
		case $path$n in one1|one3|two3) continue ;; esac
		echo "$name.d$n.cpu $us us/request"
		echo "$name.d$n.a_core $(calc "1e6 / ($us + 0.001)") requests/s"
	done
	load_average ${p%:*}
done
for n in 1 2 3
do
	eval "p=\$PID_$n"
	echo "bench.after.d$n.memory $(calc "$(memory_kb "$p") / 1024") MB"
done
