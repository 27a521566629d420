#!/bin/sh
# Not one of the five cases: rule LOST. The operator shortens the idle time-out to
# 2 s. Six clients then read long answers for 5 s each. TROUBLE=0: the time-out
# stays at 15 s.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../stand-2/fleet.sh"
clients="1 2 3 4 5 6"

# configuration VERSION IDLE_TIMEOUT
configuration () {
	echo "{\"version\":\"$1\",\"routes\":{\"columns\":[\"name\",\"host\",\"path-prefix\",\"kind\",\"timeout\",\"target-latency\",\"priority\",\"service\",\"max-attempts\",\"traffic-split\"],\"rows\":[[\"r-orders\",\"orders.example\",\"/orders/\",\"non_idempotent\",\"8000ms\",\"5000ms\",2,\"press\",2,null]]},\"services\":{\"columns\":[\"name\",\"health-path\",\"max-connections\",\"protocol\",\"tls\"],\"rows\":[[\"press\",\"/health\",390,\"h1\",false]]},\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\",\"idle-timeout\":\"$2\"}}"
}

{
	echo "config main $(configuration 00000007 15000ms)"
	worker_entry 10 i-press1 press accra-tema
	worker_entry 11 i-press2 press accra-tema
} >"$tmp/objects"
seeds=$net.100:8382,$net.101:8382
start_store "$tmp/objects"
start_worker 10 i-press1
start_worker 11 i-press2
sleep 0.3
start_daemon 101 accra-tema
start_daemon 100 accra-tema
wait_until_ready 100
sleep 1

if test "${TROUBLE:-1}" != 0
then
	configuration 00000009 2000ms >"$tmp/config"
else
	configuration 00000009 15000ms >"$tmp/config"
fi
note "operator: version 00000009, $(grep -o '"idle-timeout[^}]*' "$tmp/config")"
"$stand" put "$store" config main "$tmp/config" ||
	cannot_run "the store did not take the configuration"
# Later than config-apply and stable-window after the ack.
sleep 5

for c in $clients
do
	"$stand" fetch "$net.100:8381" order$c orders.example POST \
		"/orders/$c?size=3900000" body=100 rate=780000 mss=1400 \
		window=16384 budget=15000 >"$tmp/client.$c" &
	readers="$readers $!"
done
wait $readers
cat "$tmp/runs" "$tmp"/client.* >>"$record"
sed -n 's/^[^ ]* \(.*\)/daemon: \1/p' "$tmp/daemon.100.log" |
	grep -E 'in force|request answered' >>"$record"

cut=$(cat "$tmp"/client.* | grep -c -v 'end=whole')
ran=$(grep -c 'answered whole' "$tmp/runs")
echo "answers cut off: $cut of 6; workers gave their whole answer $ran times" |
	tee -a "$record"
test "$ran" = 6 || cannot_run "the workers did not give six whole answers"
test "$cut" -le 3
