#!/bin/sh
# Two daemons of four are killed at the same moment and start again; meanwhile a
# worker that leaves is removed from the store. TROUBLE=0: the worker is removed,
# and no daemon is killed.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../stand-2/fleet.sh"
daemons="100 101 102 103"
services="press1 press2 press3 press4"

routes=
table=
for s in $services
do
	routes="$routes${routes:+,}[\"r-$s\",\"orders.example\",\"/$s/\",\"non_idempotent\",\"8000ms\",\"5000ms\",2,\"$s\",2,null]"
	table="$table${table:+,}[\"$s\",\"/health\",390,\"h1\",false]"
done
{
	echo "config main {\"version\":\"00000007\",\"routes\":{\"columns\":[\"name\",\"host\",\"path-prefix\",\"kind\",\"timeout\",\"target-latency\",\"priority\",\"service\",\"max-attempts\",\"traffic-split\"],\"rows\":[$routes]},\"services\":{\"columns\":[\"name\",\"health-path\",\"max-connections\",\"protocol\",\"tls\"],\"rows\":[$table]},\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"}}"
	n=10
	for s in $services
	do
		for w in a b c
		do
			worker_entry $n "i-$s$w" $s accra-tema
			n=$((n + 1))
		done
	done
} >"$tmp/objects"
seeds=$net.100:8382,$net.101:8382,$net.102:8382
start_store "$tmp/objects"
n=10
for s in $services
do
	for w in a b c
	do
		start_worker $n "i-$s$w"
		n=$((n + 1))
	done
done
sleep 0.3
for d in $daemons
do
	start_daemon $d accra-tema
	eval "pid_$d=$daemon_pid"
done
for d in $daemons
do
	wait_until_ready $d
done
# Roles settle, and the daemons are in touch.
sleep 6

watchers=
others=
for d in $daemons
do
	if grep -q 'fetches from the watchers' "$tmp/daemon.$d.log"
	then
		others="$others $d"
	else
		watchers="$watchers $d"
	fi
done
test "$(echo $watchers | wc -w)" = 2 || cannot_run "watchers:$watchers"

# A service whose workers are granted by one of the two others.
service=
for d in $others
do
	for s in $services
	do
		"$stand" fetch "$net.$d:8381" "probe$d$s" orders.example POST \
			/$s/1 body=10 >>"$tmp/probes"
		sleep 0.1
		grep -q "id=probe$d$s-0 worker=.*home=own" \
			"$tmp/daemon.$d.log" && service=$s && home=$d
	done
done
test -n "$service" || cannot_run "the killed daemons grant all workers"
worker=i-${service}b
note "watchers:$watchers others:$others, $home grants $service"

if test "${TROUBLE:-1}" != 0
then
	for d in $watchers
	do
		eval "kill -KILL \$pid_$d"
	done
	note "killed:$watchers"
fi
sleep 0.05
"$stand" delete "$store" servers $worker || cannot_run "store"
note "store: the removal of $worker is acknowledged"
sleep 0.05
if test "${TROUBLE:-1}" != 0
then
	for d in $watchers
	do
		start_daemon $d accra-tema
	done
	note "started again:$watchers"
fi

# Orders through the two daemons that nothing has happened to: ten clients each.
for d in $others
do
	for c in 1 2 3 4 5 6 7 8 9 10
	do
		"$stand" fetch "$net.$d:8381" order$d-$c orders.example POST \
			"/$service/$c?work=300" body=100 count=40 gap=20 \
			>"$tmp/client.$d.$c" 2>&1 &
		readers="$readers $!"
	done
done
wait $readers
cat "$tmp/runs" "$tmp"/client.* >>"$record"
for d in $daemons
do
	sed -n "s/^[^ ]* \(.*\)/daemon $d: \1/p" "$tmp/daemon.$d.log" |
		grep -E ' relay: | feed: | platform: ' >>"$record"
done

acked=$(sed -n 's/^\([0-9]*\) store: the removal.*/\1/p' "$record")
late=$(awk -v t="$acked" -v w="worker=$worker" '$2 == w && $4 == "begins" &&
	$1 > t + 2500 { n++; last = $1 }
	END { print n + 0, "the last", last ? last - t : 0, "ms" }' "$tmp/runs")
echo "orders run at the removed worker later than 2500 ms after the ack:" \
	"$late after it" | tee -a "$record"
test "${late%% *}" = 0
