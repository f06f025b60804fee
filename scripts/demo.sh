#!/bin/bash
# Installs, builds and starts the deployment of examples/shelfcount.ini with stand-ins for
# the platform, the engines and the service, all on loopback; sends requests of each kind,
# takes a data centre out, brings it back, shows the timeline, and stops all it started.
set -euo pipefail
cd "$(dirname "$0")/.."
say() { printf '\n== %s\n' "$*"; }

say "Installing packages and building (the first time takes some minutes)"
scripts/install-packages.sh
scripts/build.sh build >/dev/null

folder=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$folder"
}
trap cleanup EXIT
start() { # NAME PROGRAM ARGUMENTS...
    local name=$1
    shift
    "$@" >"$folder/$name.log" 2>&1 &
    pids+=($!)
}

configuration=examples/shelfcount.ini
base=21000
platform=127.0.0.1:$base
python3 examples/settings.py "$configuration" "$base" "$folder" "http://$platform"
value() { sed -n "s/^$2 = //p" "$folder/$1.ini" | head -1; }
# The demo need not wait as long for a stop as a production entry.
for file in "$folder"/*.ini; do printf '\n[limits]\nanswer_hold_ms = 500\ndrain_ms = 5000\n' >>"$file"; done

say "Starting the platform's stand-in and giving it the list of VMs"
start platform build/standin_platform --listen=$platform
until curl -sf "http://$platform/stats" >/dev/null; do sleep 0.1; done
python3 - "$folder" <<'PY' | curl -sf -X PUT --data-binary @- "http://$platform/vms" >/dev/null
import configparser, json, pathlib, sys
vms = []
for path in sorted(pathlib.Path(sys.argv[1]).glob("*.ini")):
    settings = configparser.ConfigParser()
    settings.read(path)
    vms.append({"name": settings["process"]["name"],
                "role": "endpoint" if "endpoint" in settings else "entry",
                "data_centre": settings["process"]["data_centre"],
                "control": settings["listen"]["control"], "leaving": False})
print(json.dumps(vms))
PY

say "Starting 16 engine ranks, 3 service replicas, 19 agents and 9 entries"
entries=()
for file in "$folder"/*.ini; do
    name=$(basename "$file" .ini)
    if grep -q '^\[endpoint\]' "$file"; then
        url=$(grep -A2 '^\[endpoint\]' "$file" | sed -n 's#^url = http://##p')
        if [[ $name == application-* ]]; then
            start "standin-$name" build/standin_service --listen="$url" --carry_cold=4 --carry_warm=32
        else
            start "standin-$name" build/standin_engine --listen="$url" --carry_cold=2 --carry_warm=16
        fi
        start "$name" build/burdockhead agent --settings="$file"
    else
        entries+=("$name")
        start "$name" build/burdockhead entry --settings="$file"
    fi
done
entry_a=$(value "${entries[0]}" callers)
entry_b=$(value "${entries[4]}" callers)
operators=$(value "${entries[0]}" operators)
wait_ready() {
    for _ in $(seq 300); do
        [ "$(curl -s "http://$operators/members" | python3 -c 'import json,sys; print(len(json.load(sys.stdin)))' 2>/dev/null)" = 28 ] && return
        sleep 0.1
    done
    echo "the processes did not find each other" >&2
    exit 1
}
wait_ready

say "Checking the configuration and applying it through an entry"
build/burdockhead check "$configuration"
until build/burdockhead apply --entry="$operators" --yes "$configuration" | tail -3; do sleep 0.5; done
for entry in "${entries[@]}"; do
    until curl -sf "http://$(value "$entry" operators)/ready" >/dev/null; do sleep 0.1; done
done

say "A caller asks which addresses to use"
curl -s "http://$entry_a/v1/addresses"; echo

chat() { # ADDRESS STREAM
    curl -s "http://$1/v1/chat/completions" -H 'Burdockhead-Workspace: trat' \
        -H 'Burdockhead-Kind: branch-digest' -H 'Content-Type: application/json' \
        -d "{\"model\":\"shelf-moe-30b\",\"stream\":$2,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"Digest the loans of branch 7\"}]}"
}
say "A streamed model answer"
chat "$entry_a" true | grep -v '^$'
say "The same without streaming, through another entry"
chat "$entry_b" false; echo

say "A sign-off sent three times with one Idempotency-Key, through two entries: one run"
for address in "$entry_a" "$entry_b" "$entry_a"; do
    curl -s "http://$address/v1/services/report-sign-off/reports/7" -H 'Burdockhead-Workspace: trat' \
        -H 'Idempotency-Key: sign-off-7' -d 'approved by the district office'
    echo
done
echo "what became of that key:"
curl -s "http://$entry_b/v1/keys/sign-off-7" -H 'Burdockhead-Workspace: trat'; echo

say "A past report is fetched"
curl -s "http://$entry_a/v1/services/past-report-fetch/reports/7?year=2025" -H 'Burdockhead-Workspace: trat'; echo

say "Taking data centre east-b out; no new work reaches it, requests go on"
build/burdockhead take-out --entry="$operators" east-b | tail -3
sleep 3
chat "$entry_a" true | grep -c '^data: {' | sed 's/$/ tokens arrived while east-b is out/'
curl -s "http://$entry_a/v1/addresses" | grep -c east-b || echo "no address in east-b is handed out any more"

say "Bringing it back"
build/burdockhead bring-back --entry="$operators" east-b | tail -3
sleep 1
chat "$entry_a" true | grep -c '^data: {' | sed 's/$/ tokens arrived after east-b came back/'

say "The timeline of the configuration over all processes (last lines)"
build/burdockhead timeline --entry="$operators" --event=configuration_applied | tail -5

say "Stopping everything; each process finishes what it has accepted"
