# Shared by the cases' scripts: a temporary folder, processes that are ended on exit, and a fleet of three servers on
# loopback. Sourced with CASE set to the folder of the case.

ROOT=$(cd "$CASE/../.." && pwd)
LOOMFLOW=$ROOT/target/release/loomflow
TEST_SERVERS=$ROOT/target/release/test-servers
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
STARTED_AT=$(date +%s%N)
PIDS=()
: > "$RECORD"
cd "$ROOT"

# Milliseconds since the start of the script.
elapsed() { echo $((($(date +%s%N) - STARTED_AT) / 1000000)); }

# Writes a line to the record, with the time.
record() { printf '%7d ms  %s\n' "$(elapsed)" "$*" >> "$RECORD"; }

# The case could not run.
give_up() {
    record "the case could not run: $*"
    for log in "$WORK"/*.log; do
        [ -e "$log" ] && { echo "--- $(basename "$log")"; tail -n 15 "$log"; } >> "$RECORD"
    done
    echo "could not run: $*" >&2
    exit 2
}

# Ends all processes that the script started, with the processes that those have started.
clean_up() {
    local pid
    trap - EXIT
    for pid in "${PIDS[@]}"; do kill_tree "$pid"; done
    rm -rf "$WORK"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

# Kills a process and its descendants.
kill_tree() {
    local child
    for child in $(pgrep -P "$1" 2>/dev/null); do kill_tree "$child"; done
    kill -CONT "$1" 2>/dev/null
    kill -KILL "$1" 2>/dev/null
}

# Waits up to $1 s until the command in the other arguments succeeds.
wait_for() {
    local until=$(($(date +%s%N) + $1 * 1000000000))
    shift
    until "$@"; do
        [ "$(date +%s%N)" -lt "$until" ] || return 1
        sleep 0.1
    done
}

# A loopback port that nothing listens on, below the range of ephemeral ports.
free_port() {
    local port
    while :; do
        port=$((12000 + (RANDOM * 32768 + RANDOM) % 18000))
        [ -e "$WORK/port-$port" ] && continue
        if ! (exec 3<> "/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            : > "$WORK/port-$port"
            echo "$port"
            return
        fi
    done
}

# Starts the project's test servers (engine, control plane, broker) for the server $1. They write the server's
# configuration to $WORK/$1; commands are written to descriptor ${INPUT[$1]}.
declare -A INPUT
start_test_servers() {
    local name=$1 input
    mkfifo "$WORK/$name.in"
    "$TEST_SERVERS" "$WORK/$name" < "$WORK/$name.in" > "$WORK/$name.out" 2> "$WORK/$name-test-servers.log" &
    PIDS+=($!)
    disown
    exec {input}> "$WORK/$name.in"
    INPUT[$name]=$input
    wait_for 10 test -s "$WORK/$name/options.yaml" || give_up "the test servers of $name did not start"
    wait_for 10 grep -q running "$WORK/$name.out" || give_up "the test servers of $name did not start"
}

# Starts the server $1 by the command of deploy/balancer.toml, with the options file $2 if it is given. Its pid is
# ${SERVER[$1]}.
declare -A SERVER
start_server() {
    local name=$1 options=${2:-} run
    local -x PROXY_CONFIG=$WORK/$name/config.json
    if [ -n "$options" ]; then local -x LOOMFLOW_OPTIONS=$options; fi
    run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
    /bin/sh -c "$run" >> "$WORK/$name.log" 2>&1 &
    SERVER[$name]=$!
    PIDS+=($!)
    disown
}

# Starts a fleet of three servers, each with its test servers. $1: the lines under `fleet.duties`.
start_fleet() {
    local name voters="" listen port
    declare -gA LISTEN
    for name in n1 n2 n3; do
        port=$(free_port)
        LISTEN[$name]=127.0.0.1:$port
        voters+="    - {name: $name, address: \"127.0.0.1:$port\"}"$'\n'
    done
    for name in n1 n2 n3; do
        start_test_servers "$name"
        sed -i "s/\"name\": *\"n3\"/\"name\": \"$name\"/" "$WORK/$name/config.json"
        {
            printf 'fleet:\n  name: trial\n  zone: z%s\n  listen: %s\n  state: state\n  warm_for_s: 2\n' \
                "${name#n}" "${LISTEN[$name]}"
            printf '  voters:\n%s' "$voters"
            printf '  duties:\n%s\n' "$1"
        } > "$WORK/$name/fleet.yaml"
        start_server "$name" "$WORK/$name/fleet.yaml"
    done
    wait_for 10 fleet n1 found || give_up "the fleet could not be founded"
    wait_for 20 all_vote || give_up "the three servers did not become voters"
    record "three servers, n1, n2 and n3, are voters of a fleet"
}

# Runs `loomflow fleet` against the server $1.
fleet() {
    local name=$1
    shift
    timeout 20 "$LOOMFLOW" fleet "$@" --options "$WORK/$name/fleet.yaml" 2>> "$WORK/commands.log"
}

# Whether all three servers are voters.
all_vote() { [ "$(fleet n1 status --json | grep -o "\"voter\": *true" | wc -l)" = 3 ]; }

# Prints the owner of the duty $2 as the server $1 sees it; nothing if there is none.
owner_of() { fleet "$1" duty show "$2" --json | tr -d ' \n' | sed -n 's/.*"owner":{"name":"\([^"]*\)".*/\1/p'; }

# Whether the duty $2 has an owner.
has_owner() { [ -n "$(owner_of "$1" "$2")" ]; }

# Copies the history of the duty $2, as the server $1 sees it, to the record.
record_history() {
    record "the history of the duty, as $1 reports it (latest first):"
    fleet "$1" duty show "$2" | sed 's/^/            /' >> "$RECORD"
}

# Whether a process has ended.
has_ended() { ! kill -0 "$1" 2>/dev/null; }
