#!/usr/bin/env bash
# Runs a whole deployment on this machine, changes it as an operator and calls it as a customer. Exits 0 if every step
# had the expected effect, and otherwise says which step failed. Everything listens on 127.0.0.0/8.
#
# CONTROLS, ENTRIES and NET (the first two bytes of all addresses) may be set in the environment.
set -euo pipefail
cd "$(dirname "$0")/.."

controls=${CONTROLS:-3}
entries=${ENTRIES:-3}
net=${NET:-127.77}
bin=$PWD/bin
work=$(mktemp -d "${TMPDIR:-/tmp}/peridotstage-quickstart.XXXXXX")
keys=$work/keys
region=johor
step="start"

# Each upstream is SERVICE ZONE ADDRESS-BYTE. Its agent and its stand-in share one address.
upstreams=(
	"order-desk johor-a 60"
	"order-desk johor-a 61"
	"order-desk johor-b 62"
	"order-desk johor-b 63"
	"catalogue johor-a 64"
	"catalogue johor-b 65"
)
order_desk=$net.0.200:8443
catalogue=$net.0.201:8443

pids=()
cleanup() {
	status=$?
	trap - EXIT
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for _ in $(seq 50); do
		alive=0
		for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
		[ "$alive" = 0 ] && break
		sleep 0.1
	done
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	if [ "$status" = 0 ]; then
		rm -rf "$work"
	else
		echo "quickstart: step \"$step\" failed; logs and settings are in $work" >&2
	fi
	exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

begin() {
	step=$1
	printf '\n== %s\n' "$step"
}

fail() {
	echo "quickstart: $*" >&2
	exit 1
}

# eventually SECONDS COMMAND... repeats the command until it succeeds.
eventually() {
	local deadline=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$deadline" ] || fail "no success within the time: $*"
		sleep 0.2
	done
}

launch() {
	local name=$1
	shift
	"$@" 2>>"$work/$name.log" >>"$work/$name.out" &
	pids+=($!)
}

operator() {
	"$bin/peridotstage" --api "$(api_list)" --authority "$keys/authority.pem" \
		--certificate "$keys/operator.pem" --key "$keys/operator.key" "$@"
}

# change INTENT... plans an intent, prints the plan and confirms it.
change() {
	echo "\$ peridotstage $*"
	local plan id
	plan=$(operator "$@")
	echo "$plan"
	id=$(echo "$plan" | sed -n 's/.*peridotstage confirm \([0-9]*\).*/\1/p' | head -n 1)
	[ -n "$id" ] || fail "no plan for: $*"
	echo "\$ peridotstage confirm $id"
	operator confirm "$id" | tail -n 1
}

# call SERVICE ADDRESS COUNT sends requests as the customer and prints the answers.
call() {
	"$bin/standin" call "$2" --source "$net.1.1" --authority "$keys/authority.pem" --host "$1" --count "$3" --timeout 5s
}

# machine NAME ZONE ADDRESS prints the settings that all roles share.
machine() {
	cat <<-END
		"name": "$1", "zone": "$2", "region": "$region",
		"control_address": "$3:7000", "metrics_address": "$3:7003",
		"keys": {
			"authority_file": "$keys/authority.pem", "certificate_file": "$keys/$1.pem",
			"private_key_file": "$keys/$1.key", "data_key_file": "$keys/data.key",
		},
	END
}

api_list() { for i in $(seq "$controls"); do printf '%s.0.%s:7001,' "$net" "$i"; done; }

control_list() {
	for i in $(seq "$controls"); do printf '"%s.0.%s:7000", ' "$net" "$i"; done
}

member_list() {
	for i in $(seq "$controls"); do printf '"control-%s": "%s.0.%s:7000", ' "$i" "$net" "$i"; done
}

start_control() {
	"$bin/peridotstage" keys --folder "$keys" issue machine "control-$1" --ip "$net.0.$1"
	{
		echo "{"
		machine "control-$1" johor-a "$net.0.$1"
		echo "\"api_address\": \"$net.0.$1:7001\", \"data_folder\": \"$work/control-$1\", \"members\": {$(member_list)},"
		echo "}"
	} >"$work/control-$1.json"
	launch "control-$1" "$bin/peridotstage" control --settings "$work/control-$1.json"
}

start_entry() {
	local ip=$net.0.$((20 + $1))
	"$bin/peridotstage" keys --folder "$keys" issue machine "entry-$1" --ip "$ip"
	{
		echo "{"
		machine "entry-$1" johor-a "$ip"
		echo "\"data_address\": \"$ip:7002\", \"control\": [$(control_list)],"
		echo "\"address_map\": {\"${order_desk%:*}\": \"$ip\", \"${catalogue%:*}\": \"$net.0.$((40 + $1))\"},"
		echo "}"
	} >"$work/entry-$1.json"
	launch "entry-$1" "$bin/peridotstage" entry --settings "$work/entry-$1.json"
}

start_upstream() {
	local service=$1 zone=$2 ip=$net.0.$3 name=$1-$3
	"$bin/peridotstage" keys --folder "$keys" issue machine "agent-$name" --ip "$ip"
	{
		echo "{"
		machine "agent-$name" "$zone" "$ip"
		echo "\"data_address\": \"$ip:7002\", \"control\": [$(control_list)],"
		echo "\"upstream\": \"$name\", \"service\": \"$service\", \"upstream_address\": \"$ip:8000\", \"slots\": 2,"
		echo "\"service_certificate_file\": \"$keys/$service.pem\", \"service_key_file\": \"$keys/$service.key\","
		echo "}"
	} >"$work/agent-$name.json"
	launch "backend-$name" "$bin/standin" backend --name "$name@$zone" --listen "$ip:8000"
	launch "agent-$name" "$bin/peridotstage" agent --settings "$work/agent-$name.json"
}

# Below, grep reads all of its input, because a command that writes to a closed pipe fails.

status_has() { operator status | grep "$1"; }

upstreams_announced() { [ "$(operator status | grep -c ' serving$')" -ge "${#upstreams[@]}" ]; }

# all_ready succeeds when every entry and agent serves.
all_ready() {
	local ip
	for ip in $(seq -f "$net.0.%g" "$controls") $(seq -f "$net.0.%g" 21 $((20 + entries))) $(seq -f "$net.0.%g" 60 $((59 + ${#upstreams[@]}))); do
		curl --silent --fail --max-time 1 "http://$ip:7003/ready" || return 1
	done
}

proof_says() { operator customer proof estate | grep "^Verdict *$1\$"; }

# answers_from ZONE succeeds when an upstream in the zone answers some of several requests.
answers_from() { call order-desk "$order_desk" 12 | grep "@$1\$"; }

begin "create keys"
"$bin/peridotstage" keys --folder "$keys" init
"$bin/peridotstage" keys --folder "$keys" issue operator operator
"$bin/peridotstage" keys --folder "$keys" issue service order-desk --host order-desk
"$bin/peridotstage" keys --folder "$keys" issue service catalogue --host catalogue

begin "start $controls control instances, $entries entries and ${#upstreams[@]} agents with stand-in upstreams"
for i in $(seq "$controls"); do start_control "$i"; done
fabric=()
for i in $(seq "$entries"); do
	start_entry "$i"
	fabric+=(--entry "$net.0.$((20 + i)):8443")
done
for u in "${upstreams[@]}"; do
	# shellcheck disable=SC2086
	start_upstream $u
done
launch fabric-order-desk "$bin/standin" fabric --listen "$order_desk" "${fabric[@]}"
fabric=()
for i in $(seq "$entries"); do fabric+=(--entry "$net.0.$((40 + i)):8443"); done
launch fabric-catalogue "$bin/standin" fabric --listen "$catalogue" "${fabric[@]}"
eventually 20 operator status

begin "plan and confirm zones, services and a customer"
change zone add johor-a --region "$region"
change zone add johor-b --region "$region"
change service add order-desk --address "$order_desk"
change service add catalogue --address "$catalogue"
change customer add estate
change contract add estate-order-desk --customer estate --service order-desk --source "$net.1.0/24"
change contract add estate-catalogue --customer estate --service catalogue --source "$net.1.0/24"
eventually 20 upstreams_announced
if command -v curl >/dev/null; then eventually 20 all_ready; fi

begin "call both services as the customer"
eventually 20 answers_from johor-b
call order-desk "$order_desk" 4
call catalogue "$catalogue" 2

begin "retire one upstream"
change upstream retire order-desk-61
eventually 10 status_has 'order-desk-61 .* retired$'
sleep 3
answers=$(call order-desk "$order_desk" 20)
if echo "$answers" | grep "order-desk-61@"; then fail "a retired upstream got a new flow"; fi
echo "20 new flows, none at the retired upstream"

begin "withdraw zone johor-b"
change zone withdraw johor-b
sleep 3
answers=$(call order-desk "$order_desk" 20)
if echo "$answers" | grep "@johor-b"; then fail "a withdrawn zone got a request"; fi
echo "20 requests answered, none in johor-b"

begin "return zone johor-b"
change zone return johor-b
eventually 20 answers_from johor-b
echo "johor-b answers again"

begin "cut the customer off and prove that its traffic has stopped"
change customer cut estate
eventually 10 proof_says stopped
if call order-desk "$order_desk" 1 >/dev/null 2>&1; then fail "a customer that was cut off got an answer"; fi
eventually 10 proof_says stopped
operator customer proof estate

printf '\nquickstart: all steps succeeded\n'
