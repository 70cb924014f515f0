# Shared by the benchmarks: the build folder, the seed, printing of figures and
# addresses of a deployment that ./demo has started.
build=$(cd "${CB_BUILD:-build}" && pwd)
seed=${CB_SEED:-1}

# figure NAME VALUE UNIT: prints one figure as a JSON object.
figure() {
	jq -nc --arg name "$1" --argjson value "$2" --arg unit "$3" \
		--argjson seed "$seed" '{name:$name,value:$value,unit:$unit,seed:$seed}'
}

# entry_addresses DIR: prints the HTTP addresses of the entry instances,
# separated by commas.
entry_addresses() {
	jq -r '[.processes[]|select(.role=="entry")|
		"127.0.0.1:\(.ports.http)"]|join(",")' "$1/deployment.json"
}

# control_addresses DIR: prints the HTTP addresses of the control instances,
# separated by commas.
control_addresses() {
	jq -r '[.processes[]|select(.role=="control")|
		"127.0.0.1:\(.ports.http)"]|join(",")' "$1/deployment.json"
}
