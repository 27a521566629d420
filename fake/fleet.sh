# Functions that start a small fleet of stand-ins and daemons on loopback; for
# demo.sh and tests. DIR is a new folder that stop_fleet removes.
#
# Ports: workers as in conf/sample.ini, their control ports 1000 higher; daemon
# N: front 1700N, peer 1710N, member 1720N, admin 1730N (with the token "demo").
# SOURCE is the line of the settings that names the source of the configuration;
# PERIOD_MS, DRAIN_MS and LOG_LEVEL are the settings of similar names.

BIN=${BIN:-build}
KEY=1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
DIR=$(mktemp -d)
PIDS=

start_worker () { # NAME PORT [OPTION...]
	name=$1 port=$2
	shift 2
	"$BIN"/fake/worker_main --name "$name" --listen 127.0.0.1:"$port" \
		--control 127.0.0.1:$((port + 1000)) "$@" \
		2>"$DIR/$name.log" &
	eval "PID_$name=$!"
	PIDS="$PIDS $!"
}

start_daemon () { # N DATA_CENTRE REGION
	cat >"$DIR/d$1.ini" <<-EOT
	[daemon]
	name = d$1
	data_centre = $2
	region = $3
	front = 127.0.0.1:1700$1
	peer = 127.0.0.1:1710$1
	member = 127.0.0.1:1720$1
	admin = 127.0.0.1:1730$1
	admin_token = demo
	${SOURCE:-base = conf/sample.ini}
	seeds = 127.0.0.1:17201, 127.0.0.1:17202, 127.0.0.1:17203
	member_period_ms = ${PERIOD_MS:-200}
	drain_ms = ${DRAIN_MS:-500}
	log_level = ${LOG_LEVEL:-info}
	[fleet]
	keys = $KEY
	EOT
	"$BIN"/bin/azhd --settings "$DIR/d$1.ini" >>"$DIR/d$1.log" 2>&1 &
	eval "PID_d$1=$!"
	PIDS="$PIDS $!"
}

# Starts the five workers of conf/sample.ini.
start_workers () { # [OPTION...]
	start_worker s1 18101 "$@"
	start_worker s2 18102 "$@"
	start_worker s3 18103 "$@"
	start_worker c1 18201 "$@"
	start_worker c2 18202 "$@"
}

# Waits until the health check of daemon N answers with 200.
wait_daemon () {
	tries=0
	until curl -sf -o /dev/null http://127.0.0.1:1700"$1"/.azurehold/health
	do
		tries=$((tries + 1))
		test $tries -lt 200 || return 1
		sleep 0.05
	done
}

stop_fleet () {
	kill $PIDS 2>/dev/null
	wait 2>/dev/null
	rm -rf "$DIR"
}
