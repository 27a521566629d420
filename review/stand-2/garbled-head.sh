#!/bin/sh
# Not one of the five cases: rule MIXED. Three of five workers garble each 20th answer: the name of a header has a
# blank, so that the bytes are no HTTP answer. TROUBLE=0: no worker does.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../stand-2/fleet.sh"
each=0
test "${TROUBLE:-1}" != 0 && each=20

{
	echo 'config main {"version":"00000007","routes":{"columns":["name","host","path-prefix","kind","timeout","target-latency","priority","service","max-attempts","traffic-split"],"rows":[["r-orders","orders.example","/orders/","non_idempotent","8000ms","5000ms",2,"press",2,null]]},"services":{"columns":["name","health-path","max-connections","protocol","tls"],"rows":[["press","/health",390,"h1",false]]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"}}'
	for w in 10 11 12 13 14
	do
		worker_entry $w i-press$w press accra-tema
	done
} >"$tmp/objects"
seeds=$net.100:8382,$net.101:8382
start_store "$tmp/objects"
start_worker 10 i-press10 $each
start_worker 11 i-press11 $each
start_worker 12 i-press12 $each
start_worker 13 i-press13
start_worker 14 i-press14
sleep 0.3
start_daemon 101 accra-tema
start_daemon 100 accra-tema
wait_until_ready 100
sleep 1

for round in 1 2 3 4
do
	readers=
	for c in 1 2 3 4 5
	do
		"$stand" fetch "$net.100:8381" order$round$c orders.example \
			POST "/orders/$c?size=300&work=50" body=100 count=20 \
			>"$tmp/client.$round.$c" &
		readers="$readers $!"
	done
	wait $readers
done
cat "$tmp/runs" "$tmp"/client.* >>"$record"

asked=$(cat "$tmp"/client.* | wc -l)
garbled=$(grep -c 'answer garbled' "$tmp/runs")
passed=$(cat "$tmp"/client.* | grep -c 'status=200 .*end=no-http-head')
echo "$asked requests, $garbled answers garbled by workers, passed on" \
	"to clients as a success although no HTTP: $passed" | tee -a "$record"
test "$asked" -gt 50 || cannot_run "too few requests"
test "${TROUBLE:-1}" = 0 || test "$garbled" -gt 0 ||
	cannot_run "no answer was garbled"
test "$passed" = 0
