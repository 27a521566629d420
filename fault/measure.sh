# Functions for bench.sh and slopes.sh: start a fleet on loopback whose ports
# begin at PORT, and read its figures from /proc and the administration API. The
# processes of the fleet are killed by id when the script exits.

BIN=${BIN:-build}
PORT=${PORT:-26000}
KEY=1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
DIR=$(mktemp -d)
PIDS=

finish () {
	test -z "$PIDS" || kill $PIDS 2>/dev/null
	wait
	rm -rf "$DIR"
}
trap finish EXIT
trap 'exit 1' INT TERM

fail () {
	echo "$0: $*" >&2
	tail -n 5 "$DIR"/*.log >&2
	exit 1
}

# Starts daemon N, the only one of data centre bench-N. Its configuration is
# $DIR/base.ini, or that of the store if STORE=IP:PORT is set. Its front, peer,
# member and admin ports are PORT + 10 N and the next three.
start_daemon () { # N
	p=$((PORT + 10 * $1))
	cat >"$DIR/d$1.ini" <<-EOT
	[daemon]
	name = d$1
	data_centre = bench-$1
	region = bench
	front = 127.0.0.1:$p
	peer = 127.0.0.1:$((p + 1))
	member = 127.0.0.1:$((p + 2))
	admin = 127.0.0.1:$((p + 3))
	admin_token = bench
	${STORE:+store = $STORE}
	$(test -n "$STORE" || echo "base = $DIR/base.ini")
	seeds = 127.0.0.1:$((PORT + 12)), 127.0.0.1:$((PORT + 22))
	log_level = ${LOG_LEVEL:-warn}
	drain_ms = 0
	stop_timeout_ms = 1000
	[fleet]
	keys = $KEY
	EOT
	"$BIN"/bin/azhd --settings "$DIR/d$1.ini" >"$DIR/d$1.log" 2>&1 &
	PIDS="$PIDS $!"
	eval "PID_$1=$!"
}

# Waits until daemon N answers its health check, with any status.
wait_daemon () { # N
	tries=0
	until curl -s -o /dev/null \
		http://127.0.0.1:$((PORT + 10 * $1))/.azurehold/health
	do
		tries=$((tries + 1))
		test $tries -lt 400 || fail "daemon $1 does not answer"
		sleep 0.05
	done
}

# Counter of daemon N; 0 if it has none of that name.
counter () { # N NAME
	curl -s -H 'Authorization: Bearer bench' \
		http://127.0.0.1:$((PORT + 10 * $1 + 3))/counters |
		awk -v n="$2" '$1 == n { v = $2 } END { print v + 0 }'
}

# User and system time of a process in units of 10 ms.
cpu_ticks () { # PID
	awk '{ sub(/.*\) /, ""); print $12 + $13 }' /proc/"$1"/stat
}

memory_kb () { # PID
	awk '/^VmRSS/ { print $2 }' /proc/"$1"/status
}

calc () { # EXPRESSION
	awk "BEGIN { printf \"%.3f\", $1 }"
}

# Prints the load average, and the share of processor time that the host took
# from this machine (steal) since the last call: both delay every thread
# wake-up.
load_average () { # NAME
	echo "load_average.$1 $(cut -d' ' -f1 /proc/loadavg) processes"
	set -- "$1" $(awk '/^cpu / { for (i = 2; i <= 9; i++) s += $i
		print s, $9 }' /proc/stat)
	test -z "$ALL_TICKS" || echo "steal.$1 $(calc "100 * ($3 - \
		$STEAL_TICKS) / ($2 - $ALL_TICKS + 1)") %"
	ALL_TICKS=$2 STEAL_TICKS=$3
}
