#!/bin/sh
# Runs independent DNS clients against the built program: dig with various options, then 100,000 queries of
# dnsperf. Behind the program are three stand-in resolvers, one of which never answers. Usage: dns_clients.sh
# PROGRAM STANDIN
set -eu
program=$1
standin=$2
work=$(mktemp -d)
pids=
clean_up() {
  for pid in $pids; do kill "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap clean_up EXIT
fail() {
  echo "$1"
  cat "$work/log"
  exit 1
}

# port_of FILE PATTERN: waits until FILE has a number after PATTERN, and prints it.
port_of() {
  for _ in $(seq 200); do
    port=$(sed -n "s/.*$2\([0-9]*\).*/\1/p" "$1" | head -1)
    [ -n "$port" ] && { echo "$port"; return; }
    sleep 0.05
  done
  echo "no port number after '$2' in $1" >&2
  exit 1
}

printf '[dns]\nlisten = ["127.0.0.1:0"]\n' > "$work/file.toml"
for number in 1 2 3; do
  mode=answer
  [ "$number" -eq 3 ] && mode=silent
  "$standin" 0 $mode > "$work/resolver$number" &
  eval "resolver$number=$!"
  pids="$pids $!"
  printf '[[dns.resolver]]\nuid = "r%s"\nendpoint = "127.0.0.1:%s"\n' $number "$(port_of "$work/resolver$number" 'port ')" >> "$work/file.toml"
done
"$program" --config "$work/file.toml" 2> "$work/log" &
main=$!
pids="$pids $main"
port=$(port_of "$work/log" 'dns on 127.0.0.1:')

# ask EXPECTED ARGUMENTS: runs dig with ARGUMENTS; a line of its output must match EXPECTED.
ask() {
  expected=$1
  shift
  dig @127.0.0.1 -p "$port" +tries=1 +time=8 "$@" > "$work/dig" 2>&1 || fail "dig $* failed: $(cat "$work/dig")"
  grep -q "$expected" "$work/dig" || fail "dig $*: no '$expected' in: $(cat "$work/dig")"
}
ask '192.0.2.0' +notcp www.example.org
ask 'SERVER: .*(UDP)' +notcp www.example.org
ask 'SERVER: .*(TCP)' +tcp www.example.org
ask 'status: NOERROR' +tcp +keepopen one.example.org two.example.org three.example.org
[ "$(grep -c 'status: NOERROR' "$work/dig")" -eq 3 ] || fail "dig +keepopen: three answers expected"
# The stand-ins answer a query for bigN.example.org with N records: 40 do not fit in 512 bytes, 100 do not fit
# in 1232.
ask 'flags: qr.* tc' +notcp +noedns +ignore big40.example.org
ask 'ANSWER: 40' +notcp +bufsize=1232 +ignore big40.example.org
ask 'udp: 1232' +notcp +bufsize=4096 big40.example.org
ask 'flags: qr.* tc' +notcp +bufsize=4096 +ignore big100.example.org
ask 'Truncated, retrying in TCP' +bufsize=4096 big100.example.org
ask 'ANSWER: 100' +bufsize=4096 big100.example.org
ask 'status: NOTIMP' +opcode=STATUS www.example.org
dig @127.0.0.1 -p "$port" +tries=1 axfr example.org > "$work/dig" 2>&1 || true
grep -q 'Transfer failed' "$work/dig" || fail "the program did not refuse a zone transfer"
ask 'status: BADVERS' +edns=1 +noednsneg www.example.org

i=0
while [ $i -lt 1000 ]; do
  echo "n$i.example.org A"
  i=$((i + 1))
done > "$work/queries"
dnsperf -s 127.0.0.1 -p "$port" -d "$work/queries" -n 100 -c 4 -q 100 -t 10 > "$work/dnsperf" 2>&1
grep -E 'Queries|Response codes|Latency' "$work/dnsperf"
grep -q 'Queries completed: *100000 ' "$work/dnsperf" || fail "some of dnsperf's queries are unanswered"
! grep -qi 'unexpected' "$work/dnsperf" || fail "dnsperf received an unexpected answer"

kill -TERM $main
wait $main || fail "the program exited with status $?"
# The unresponsive resolver was detected: it was sent few queries.
kill -TERM "$resolver3"
wait "$resolver3"
unanswered=$(sed -n 's/^udp \([0-9]*\).*/\1/p' "$work/resolver3")
echo "queries to the unresponsive resolver: $unanswered"
[ "$unanswered" -gt 0 ] && [ "$unanswered" -lt 1000 ] || fail "the unresponsive resolver was sent $unanswered queries"
# Without retransmissions, the number of queries must equal the number of answers: no query is answered twice.
counters=$(grep -o 'udp_queries=.*' "$work/log" | tail -1)
echo "$counters"
eval "$(echo "$counters" | tr ' ' '\n' | grep -E '^(udp_queries|tcp_queries|answers|retransmissions)=')"
[ $((udp_queries + tcp_queries - retransmissions)) -eq "$answers" ] || fail "the numbers of queries and answers differ: $counters"
