# Starts a small deployment on 127.0.0.1 and defines functions for it. Sourced by scripts/demo and
# bench/faults, which set build (build folder), base (first port) and max_runtime (seconds after which
# all processes end). Sets work, pids, platform, callers, keyed, files and load.
zones=(a b c)

work=$(mktemp -d)
declare -A pids=()

stop_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -TERM "${pids[$name]}" 2>/dev/null || true
    done
    for name in "${!pids[@]}"; do
        wait "${pids[$name]}" 2>/dev/null || true
    done
}
on_exit() {
    local code=$?
    trap - EXIT
    stop_all
    if [ "$code" -eq 0 ] && [ -z "${KEEP_LOGS:-}" ]; then
        rm -rf "$work"
    else
        echo "exit code $code; logs are in $work"
    fi
    exit "$code"
}
trap on_exit EXIT
trap 'exit 130' INT TERM

start() { # NAME PROGRAM ARGUMENT...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids[$name]=$!
}
kill_process() { # NAME
    kill -KILL "${pids[$1]}"
    wait "${pids[$1]}" 2>/dev/null || true
    unset "pids[$1]"
}
until_ready() { # SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@" >"$work/ready.log" 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "not ready in time, command failed: $*"
            tail -n 25 "$work/ready.log"
            return 1
        fi
        sleep 0.2
    done
}
tool() { "$build/cornelswitch" "$@"; }

# Ports: platform from base (one for each zone), servers from base+100, instances from base+200 (four
# each, in steps of 10).
platform=127.0.0.1:$base
keyed=()
files=()
server_arguments=()
server_address() { echo "127.0.0.1:$((base + 100 + $1))"; }
caller_address() { echo "127.0.0.1:$((base + 200 + 10 * $1))"; }
operator_address() { echo "127.0.0.1:$((base + 203 + 10 * $1))"; }

platform_ports=()
for n in "${!zones[@]}"; do
    platform_ports+=(--listen "127.0.0.1:$((base + n))")
done
start platform "$build/cornelswitch-platform" "${platform_ports[@]}" --max-runtime "$max_runtime"

behaviour='{"service_ms":2,"concurrency":4,"cold_limit":1,"warm_after":4}'
for n in 0 1 2 3 4 5 6 7 8; do
    zone=${zones[$((n % 3))]}
    if [ "$n" -lt 6 ]; then
        id=records-$n
        keyed+=("$id $zone $(server_address "$n")")
    else
        id=files-$n
        files+=("$id $zone $(server_address "$n")")
    fi
    server_arguments+=(--server "$id=$(server_address "$n")")
    start "$id" "$build/cornelswitch-server" --id "$id" --listen "$(server_address "$n")" \
        --behaviour "$behaviour" --max-runtime "$max_runtime"
done

server_lines() {
    local it
    for it in "$@"; do
        set -- $it
        echo "      - {id: $1, zone: $2, address: $3, concurrency: 4, connections: 50}"
    done
}
cat >"$work/deployment.yaml" <<YAML
zones: [a, b, c]
profiles:
  - {name: demo, default_deadline: 2s, max_deadline: 10s, warmup_start: 1, warmup_successes: 8}
services:
  - name: records
    profile: demo
    keyed: true
    hash_slots: 96
    servers:
$(server_lines "${keyed[@]}")
  - name: files
    profile: demo
    keyed: false
    servers:
$(server_lines "${files[@]}")
YAML

callers=()
for n in 0 1 2 3 4 5; do
    port=$((base + 200 + 10 * n))
    zone=$((n % 3))
    cat >"$work/i$n.yaml" <<YAML
instance: i$n
zone: ${zones[$zone]}
listen:
  caller: 127.0.0.1:$port
  data: 127.0.0.1:$((port + 1))
  control: 127.0.0.1:$((port + 2))
  operator: 127.0.0.1:$((port + 3))
platform: 127.0.0.1:$((base + zone))
YAML
    start "i$n" "$build/cornelswitchd" --config "$work/i$n.yaml"
    callers+=(--caller "127.0.0.1:$port")
done

# Instances have no limit on their own run time, so the watchdog ends them.
(
    sleep "$max_runtime"
    kill -KILL "${pids[@]}"
) >/dev/null 2>&1 &
pids[watchdog]=$!

echo "publishing the configuration"
until_ready 10 tool config check "$work/deployment.yaml"
tool config publish "$work/deployment.yaml" --platform "$platform"

echo "waiting until every key is served"
load=("$build/cornelswitch-load" --keyed records --download files "${callers[@]}"
    "${server_arguments[@]}")
until_ready 30 "${load[@]}" --rate 100 --seconds 1

