#!/bin/sh
# Runs independent DNS clients against the built program and three stand-in resolvers, one of which never
# answers: dig with various options, then 100,000 queries of dnsperf. Usage: dns_clients.sh PROGRAM STANDIN
set -eu
program=$1
standin=$2
work=$(mktemp -d)
pids=
end() {
  for pid in $pids; do kill "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap end EXIT
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
  echo "nothing listens: $1" >&2
  exit 1
}

printf '[dns]\nlisten = ["127.0.0.1:0"]\n' > "$work/file.toml"
for r in 1 2 3; do
  way=answer
  [ "$r" -eq 3 ] && way=silent
  "$standin" 0 $way > "$work/r$r" &
  eval "r$r=$!"
  pids="$pids $!"
  printf '[[dns.resolver]]\nuid = "r%s"\nendpoint = "127.0.0.1:%s"\n' $r "$(port_of "$work/r$r" 'port ')" >> "$work/file.toml"
done
"$program" --config "$work/file.toml" 2> "$work/log" &
main=$!
pids="$pids $main"
port=$(port_of "$work/log" 'dns on 127.0.0.1:')

# ask WANTED ARGUMENTS: runs dig with ARGUMENTS; a line of its output must match WANTED.
ask() {
  wanted=$1
  shift
  dig @127.0.0.1 -p "$port" +tries=1 +time=8 "$@" > "$work/dig" 2>&1 || fail "dig $* failed: $(cat "$work/dig")"
  grep -q "$wanted" "$work/dig" || fail "dig $*: no '$wanted' in: $(cat "$work/dig")"
}
ask '192.0.2.0' +notcp www.example.org
ask 'SERVER: .*(UDP)' +notcp www.example.org
ask 'SERVER: .*(TCP)' +tcp www.example.org
ask 'status: NOERROR' +tcp +keepopen one.example.org two.example.org three.example.org
[ "$(grep -c 'status: NOERROR' "$work/dig")" -eq 3 ] || fail "+keepopen: not three answers"
# 'bigN.' has N records here: 40 do not fit 512 bytes, 100 do not fit 1232.
ask 'flags: qr.* tc' +notcp +noedns +ignore big40.example.org
ask 'ANSWER: 40' +notcp +bufsize=1232 +ignore big40.example.org
ask 'udp: 1232' +notcp +bufsize=4096 big40.example.org
ask 'flags: qr.* tc' +notcp +bufsize=4096 +ignore big100.example.org
ask 'Truncated, retrying in TCP' +bufsize=4096 big100.example.org
ask 'ANSWER: 100' +bufsize=4096 big100.example.org
ask 'status: NOTIMP' +opcode=STATUS www.example.org
dig @127.0.0.1 -p "$port" +tries=1 axfr example.org > "$work/dig" 2>&1 || true
grep -q 'Transfer failed' "$work/dig" || fail "a transfer was not refused"
ask 'status: BADVERS' +edns=1 +noednsneg www.example.org

i=0
while [ $i -lt 1000 ]; do
  echo "n$i.example.org A"
  i=$((i + 1))
done > "$work/queries"
dnsperf -s 127.0.0.1 -p "$port" -d "$work/queries" -n 100 -c 4 -q 100 -t 10 > "$work/dnsperf" 2>&1
grep -E 'Queries|Response codes|Latency' "$work/dnsperf"
grep -q 'Queries completed: *100000 ' "$work/dnsperf" || fail "some of dnsperf's queries are unanswered"
! grep -qi 'unexpected' "$work/dnsperf" || fail "an answer that nobody waited for"

kill -TERM $main
wait $main || fail "the program ended with $?"
# The unresponsive resolver was detected: it was sent few queries.
kill -TERM "$r3"
wait "$r3"
swallowed=$(sed -n 's/^udp \([0-9]*\).*/\1/p' "$work/r3")
echo "swallowed=$swallowed"
[ "$swallowed" -gt 0 ] && [ "$swallowed" -lt 1000 ] || fail "the silent resolver was sent $swallowed queries"
# The number of answers equals the number of queries without retransmissions: none was answered twice.
account=$(grep -o 'udp_queries=.*' "$work/log" | tail -1)
echo "$account"
eval "$(echo "$account" | tr ' ' '\n' | grep -E '^(udp_queries|tcp_queries|answers|retransmissions)=')"
[ $((udp_queries + tcp_queries - retransmissions)) -eq "$answers" ] || fail "queries and answers differ: $account"
