# Functions that start and stop a local fleet of processes. Sourced by scripts that set `program`, the path of the binary.
# Sets `folder`, where settings, logs and data go, and stops every process that `start` started when the script ends.

folder=$(mktemp -d "${TMPDIR:-/tmp}/celeryswitch-fleet.XXXXXX")
processes=()
secret=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')

# Asks processes to stop, waits up to 10 s for them, and ends those that remain.
stop_processes() {
    local process
    kill "$@" 2> /dev/null || true
    for _ in $(seq 100); do
        kill -0 "$@" 2> /dev/null || break
        sleep 0.1
    done
    for process in "$@"; do
        kill -9 "$process" 2> /dev/null || true
        wait "$process" 2> /dev/null || true
    done
}

stop_all() {
    local status=$?
    trap - EXIT INT TERM
    # The state replicas, which are started first, stop last, so that the others can stop gracefully.
    [ "${#processes[@]}" -le 3 ] || stop_processes "${processes[@]:3}"
    [ "${#processes[@]}" -eq 0 ] || stop_processes "${processes[@]:0:3}"
    if [ "$status" -eq 0 ]; then
        rm -rf "$folder"
    else
        echo "$(basename "$0"): stopped with status $status; settings and logs are in $folder" >&2
    fi
    exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Starts a process in the background and waits for its line "ready ..." or "listening ..."; leaves the line in $ready.
start() {
    local name=$1
    shift
    "$@" > "$folder/$name.out" 2> "$folder/$name.log" &
    processes+=($!)
    for _ in $(seq 200); do
        if ready=$(grep -m 1 -E '^(ready|listening)' "$folder/$name.out"); then
            return 0
        fi
        kill -0 "${processes[-1]}" 2> /dev/null || break
        sleep 0.05
    done
    echo "$(basename "$0"): $name did not become ready:" >&2
    tail -5 "$folder/$name.log" >&2
    return 1
}

# Value of a field of the line in $ready.
field() { sed -n "s/.* $1=\([^ ]*\).*/\1/p" <<< "$ready "; }

# A TCP port of 127.0.0.1 that nothing listens on.
free_port() {
    local port
    while :; do
        port=$((20000 + RANDOM % 12000))
        grep -qi ":$(printf '%04X' "$port") " /proc/net/tcp /proc/net/tcp6 2> /dev/null || break
    done
    echo "$port"
}

common() { printf 'dataCentre = "%s"\nrack = "%s"\n' "$1" "$2"; }
keys() { printf '[keys]\n1 = "%s"\n' "$secret"; }

data_centres=(recife fortaleza salvador)
state_list=""
entries=""

# Starts three state replicas; fills $state_list.
start_states() {
    local index replicas="[replicas]" port=()
    for index in 1 2 3; do
        port[index]=$(free_port)
        state_list+="\"127.0.0.1:${port[index]}\", "
        replicas+=$'\n'"state-$index = \"127.0.0.1:${port[index]}\""
    done
    for index in 1 2 3; do
        {
            printf 'name = "state-%s"\n' "$index"
            common "${data_centres[index - 1]}" "rack-$index"
            printf 'peerAddress = "127.0.0.1:%s"\ndataFolder = "%s/state-%s"\n' "${port[index]}" "$folder" "$index"
            keys
            printf '%s\n' "$replicas"
        } > "$folder/state-$index.toml"
        start "state-$index" "$program" state --settings "$folder/state-$index.toml"
    done
}

# Starts two entries; fills $entries with their HTTP addresses, separated by commas.
start_entries() {
    local index
    for index in 1 2; do
        {
            printf 'instanceId = "entry-%s"\n' "$index"
            common "${data_centres[index - 1]}" "rack-$index"
            printf 'httpAddress = "127.0.0.1:0"\npeerAddress = "127.0.0.1:0"\ndatagramAddress = "127.0.0.1:0"\n'
            printf 'stateAddresses = [%s]\n' "$state_list"
            keys
        } > "$folder/entry-$index.toml"
        start "entry-$index" "$program" entry --settings "$folder/entry-$index.toml"
        entries+="${entries:+,}$(field http)"
    done
}

# Starts the sidecar with this number beside the endpoint at an address.
# usage: start_sidecar NUMBER ENDPOINT
start_sidecar() {
    {
        printf 'instanceId = "sidecar-%s"\n' "$1"
        common "${data_centres[($1 - 1) % 3]}" "rack-$1"
        printf 'service = "ordering"\nslots = 8\nendpointAddress = "%s"\n' "$2"
        printf 'peerAddress = "127.0.0.1:0"\ndatagramAddress = "127.0.0.1:0"\nstateAddresses = [%s]\n' "$state_list"
        keys
    } > "$folder/sidecar-$1.toml"
    start "sidecar-$1" "$program" sidecar --settings "$folder/sidecar-$1.toml"
}

# Writes the settings of operator commands to $folder/operator.toml.
write_operator_settings() {
    {
        printf 'author = "%s"\nstateAddresses = [%s]\n' "$(basename "$0" .sh)" "$state_list"
        printf 'entryAddresses = ["%s"]\n' "${entries//,/\", \"}"
        keys
    } > "$folder/operator.toml"
}

# Waits until this many sidecars are members.
wait_for_sidecars() {
    local members=0 _
    for _ in $(seq 300); do
        members=$("$program" members --settings "$folder/operator.toml" | grep -c sidecar- || true)
        [ "$members" -eq "$1" ] && return 0
        sleep 0.1
    done
    echo "$(basename "$0"): only $members of $1 sidecars are members" >&2
    return 1
}
