# Functions that start and stop the processes of a run on loopback. Sourced by demo and measure.
#
# Each process has its own address in 127.NET.0.0/16, so that rules by source address apply and
# several checkouts can run side by side with different values of AUBURNLUG_NET.

NET=127.${AUBURNLUG_NET:-41}
CONTROLS=(c1 c2 c3)
ENTRIES=(e1 e2 e3 e4)
BENCH=target/release/auburnlug-bench
PROXY=target/release/auburnlug
CTL=target/release/auburnlugctl
# Seconds that a process gets to stop after SIGTERM.
STOP_SECONDS=10
# Seconds that the system gets to become ready.
READY_SECONDS=30
# Entries that the load uses.
LOAD_ENTRIES=("${ENTRIES[@]}")
declare -A PID=()

fail() { echo "$0: $*" >&2; exit 1; }

# Address of an instance.
address() {
    case $1 in
    c*) echo "$NET.1.${1#c}" ;;
    e*) echo "$NET.2.${1#e}" ;;
    esac
}

# Peer address that others use: through the relay if the run has one.
peer() {
    local address
    address=$(address "$1")
    if [ "$RELAY" = yes ]; then address=${address/$NET.1/$NET.3} address=${address/$NET.2/$NET.4}; fi
    echo "$address:7100"
}

joined() { local IFS=,; echo "$*"; }

# Starts a process in the background and keeps its id.
start() {
    local name=$1
    shift
    "$@" >>"$RUN/$name.log" 2>&1 &
    PID[$name]=$!
}

# Ends a process with SIGTERM, or with SIGKILL if it does not stop in time.
stop() {
    local pid=${PID[$1]:-}
    [ -n "$pid" ] || return 0
    unset "PID[$1]"
    kill -TERM "$pid" 2>/dev/null || return 0
    for _ in $(seq $((STOP_SECONDS * 20))); do
        kill -0 "$pid" 2>/dev/null || { wait "$pid" && return 0 || return $?; }
        sleep 0.05
    done
    echo "$1 did not stop within $STOP_SECONDS s" >&2
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
    return 1
}

kill_hard() {
    kill -KILL "${PID[$1]}" 2>/dev/null || true
    wait "${PID[$1]}" 2>/dev/null || true
    unset "PID[$1]"
}

# Stops everything that this script started: all get SIGTERM first, so that they stop together.
stop_all() {
    local name
    for name in "${!PID[@]}"; do kill -TERM "${PID[$name]}" 2>/dev/null || true; done
    for name in "${!PID[@]}"; do stop "$name" || true; done
}

get() { "$BENCH" get "http://$1"; }
mark() { "$BENCH" mark --file "$RUN/marks.jsonl" "$1"; }

# Reads the names of the groups from the run's template.
groups() {
    TEMPLATE=$RUN/template
    mapfile -t GROUPS_ALL < <(sed -n 's/^\[group \(.*\)\]/\1/p' "$TEMPLATE")
}

# Creates the run's folder with secrets, keys and the groups of the template.
prepare() {
    mkdir -p "$RUN"
    cp "settings/$DEPLOYMENT.template" "$RUN/template"
    groups
    mapfile -t ACCOUNTS < <(sed -n 's/^\[account \(.*\)\]/\1/p' "$TEMPLATE")
    local secret account
    for secret in cluster operator announce database; do
        head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$RUN/$secret.secret"
    done
    chmod 600 "$RUN"/*.secret
    for account in "${ACCOUNTS[@]}"; do
        [ "$account" = public ] || echo "$account demo-key-$account"
    done >"$RUN/keys"
    : >"$RUN/marks.jsonl"
}

# Writes the settings file of an instance.
settings() {
    local name=$1 roles=$2 address number=${1#?}
    address=$(address "$name")
    {
        echo "[instance]"
        echo "format = 1"
        echo "name = $name"
        echo "region = region$(((number - 1) % 3 + 1))"
        echo "domain = domain$(((number - 1) % 3 + 1))"
        echo "roles = $roles"
        [ "$roles" = entry ] || echo "data = $RUN/$name.data"
        echo "peer = $address:7100"
        [ "$RELAY" = no ] || echo "advertised_peer = $(peer "$name")"
        echo "http = $address:7200"
        [ "$roles" = control ] || echo "callers = $address:6400"
        echo "source = $address"
        echo "[control]"
        echo "members = c1@$(peer c1), c2@$(peer c2), c3@$(peer c3)"
        # The relay accepts connections to instances that are down, so a refusal proves nothing.
        [ "$RELAY" = no ] || echo "trust_refused = no"
        echo "[secrets]"
        echo "cluster = $RUN/cluster.secret"
        echo "operator = $RUN/operator.secret"
        echo "announce = $RUN/announce.secret"
        echo "database_user = auburnlug"
        echo "database_password = $RUN/database.secret"
        if [ -n "$POLICY" ]; then printf '[traffic]\npolicy = %s\n' "$POLICY"; fi
    } >"$RUN/$name.ini"
}

start_instance() { start "$1" "$PROXY" run "$RUN/$1.ini"; }

start_instances() {
    local name
    for name in "${CONTROLS[@]}"; do settings "$name" control; done
    for name in "${ENTRIES[@]}"; do settings "$name" entry; done
    if [ "$RELAY" = yes ]; then start_relay; fi
    for name in "${CONTROLS[@]}" "${ENTRIES[@]}"; do start_instance "$name"; done
}

start_relay() {
    local name forward=()
    for name in "${CONTROLS[@]}" "${ENTRIES[@]}"; do
        forward+=(--forward "$(peer "$name")=$(address "$name"):7100")
    done
    start relay "$BENCH" relay --panel "$NET.5.1:5600" --latency "$LATENCY" "${forward[@]}"
}

relay() { get "$NET.5.1:5600/$1"; }

# Cuts an instance off from all other instances, silently and in both directions.
cut_instance() {
    relay "cut?source=$(address "$1")" >/dev/null
    relay "cut?target=$(address "$1")" >/dev/null
}

# Address of server N of a group, without port.
server_address() {
    local at
    for at in "${!GROUPS_ALL[@]}"; do
        [ "${GROUPS_ALL[$at]}" != "$1" ] || echo "$NET.$((11 + at)).$2"
    done
}

# Starts server N of a group: start_server GROUP N [OPTION..].
start_server() {
    local group=$1 number=$2 name=$1-$2 address announce=() control
    shift 2
    address=$(server_address "$group" "$number")
    for control in "${CONTROLS[@]}"; do announce+=(--announce "$(address "$control"):7200"); done
    local limits=(--connections 20 --connect 10)
    [ "$DEPLOYMENT" = sahil ] || limits=(--connections 35 --connect 30)
    start "$name" "$BENCH" server --name "$name" --group "$group" --domain "domain$number" \
        --listen "$address:5500" --panel "$address:5600" "${announce[@]}" \
        --secret "$RUN/announce.secret" --password "$RUN/database.secret" --keys "$RUN/keys" \
        --record "$RUN/$name.record" --data "$RUN/$name.log.jsonl" \
        --slots 3 --service "$SERVICE" "${limits[@]}" "$@"
}

start_servers() {
    local group number
    for group in "${GROUPS_ALL[@]}"; do
        start_server "$group" 1 --primary
        for number in 2 3; do
            start_server "$group" "$number" --follow "$(server_address "$group" 1):5500"
        done
    done
}

panel() { get "$(server_address "$1" "$2"):5600/$3"; }

# Number of the group's primary of the highest term.
primary() {
    local number status term best=0 found=1
    for number in 1 2 3; do
        status=$(panel "$1" "$number" status 2>/dev/null) || continue
        term=$(sed -n 's/.*"term":\([0-9]*\).*/\1/p' <<<"$status")
        if [[ $status == *'"role":"primary"'* && $term -gt $best ]]; then
            best=$term found=$number
        fi
    done
    echo "$found"
}

ctl() {
    local controls=() name
    for name in "${CONTROLS[@]}"; do controls+=("$(address "$name"):7200"); done
    "$CTL" --control "$(joined "${controls[@]}")" --secret-file "$RUN/operator.secret" \
        --operator "${OPERATOR:-scripts}" "$@"
}

# A field of an instance's status: field INSTANCE NAME.
field() {
    local url
    url=http://$(address "$1"):7200/v1/status
    "$BENCH" get --bearer "$RUN/operator.secret" "$url" | sed -n "s/.*\"$2\":\"\?\([^\",}]*\).*/\1/p"
}

# Name of the control leader.
leader() {
    local name address
    for name in "${CONTROLS[@]}"; do
        [ -n "${PID[$name]:-}" ] || continue
        address=$(field "$name" leader) || continue
        [ -n "$address" ] && [ "$address" != null ] && break
    done
    for name in "${CONTROLS[@]}"; do
        [ "$(address "$name"):7200" != "$address" ] || echo "$name"
    done
}

# Marks the time at which an instance has a later version than VERSION: spread ID VERSION INSTANCE.
spread() {
    for _ in $(seq 1000); do
        if [ "$(field "$3" version)" -gt "$2" ]; then mark "in force $1"; return 0; fi
        sleep 0.01
    done
    return 1
}

# Publishes a template with another burst and marks when each instance has it: change ID INSTANCE..
change() {
    local id=$1 version name pids=() pid
    shift
    version=$(field "$1" version)
    sed "0,/^burst = .*/s//burst = $((100 + RANDOM % 5))/" "$TEMPLATE" >"$RUN/template-$id"
    for name in "$@"; do
        spread "$id" "$version" "$name" &
        pids+=($!)
    done
    mark "change $id"
    ctl publish "$RUN/template-$id" || return 1
    for pid in "${pids[@]}"; do wait "$pid" || return 1; done
}

# Waits until a command succeeds.
eventually() {
    local end=$((SECONDS + READY_SECONDS))
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] || return 1
        sleep 0.1
    done
}

entries_ready() {
    local name
    for name in "${ENTRIES[@]}"; do get "$(address "$name"):7200/readyz" || return 1; done
}

# Load: load RECORD SEED SECONDS [OPTION..].
load() {
    local record=$1 seed=$2 seconds=$3 entries=() name
    shift 3
    for name in "${LOAD_ENTRIES[@]}"; do
        entries+=(--entry "$(address "$name"):6400")
    done
    "$BENCH" load --template "$TEMPLATE" --keys "$RUN/keys" "${entries[@]}" --record "$record" \
        --deployment "$DEPLOYMENT" --seed "$seed" --seconds "$seconds" "$@"
}

# A short load of which every request is served; "served unknown" accepts unknown outcomes, which
# a group owner answers to non-idempotent requests for 60 s after it took over.
served() {
    local seed=$((SEED + 1000000 + RANDOM)) bad='none|unavailable|failed|key|limit'
    [ "${1:-}" = unknown ] || bad="$bad|unknown"
    load "$RUN/warm.jsonl" "$seed" 0.3 --share 0.3 >"$RUN/warm.out" 2>&1 || return 1
    ! grep -qE "_($bad)=" "$RUN/warm.out"
}

# Starts the whole system and waits until it serves.
start_system() {
    prepare
    start_servers
    start_instances
    eventually ctl publish "$TEMPLATE" || fail "the template was not accepted within $READY_SECONDS s; see $RUN"
    eventually entries_ready || fail "the entries are not ready within $READY_SECONDS s; see $RUN"
    eventually served || fail "requests are not served within $READY_SECONDS s; see $RUN"
    # Lets the buckets of the client accounts fill up again.
    sleep 2
}

# Options that name the records of a run.
sources() {
    local group number
    SOURCES=(--template "$TEMPLATE" --load "$RUN/load.jsonl" --marks "$RUN/marks.jsonl")
    for group in "${GROUPS_ALL[@]}"; do
        for number in 1 2 3; do
            SOURCES+=(--server "$group,$RUN/$group-$number.record,$RUN/$group-$number.log.jsonl")
        done
    done
}

# Prints the figures: check [OPTION..].
check() {
    sources
    "$BENCH" check "${SOURCES[@]}" --out "$RUN/figures.jsonl" "$@"
}
