# Shared by the measurements: where the programs are, and how a figure is
# printed.
build=$(cd "${CB_BUILD:-build}" && pwd)
seed=${CB_SEED:-1}

# figure NAME VALUE UNIT: one figure as a JSON object.
figure() {
	jq -nc --arg name "$1" --argjson value "$2" --arg unit "$3" \
		--argjson seed "$seed" '{name:$name,value:$value,unit:$unit,seed:$seed}'
}

# entries_of DIR: the entry instances' addresses, with commas between.
entries_of() {
	jq -r '[.processes[]|select(.role=="entry")|
		"127.0.0.1:\(.ports.http)"]|join(",")' "$1/deployment.json"
}

# control_of DIR: the control instances' addresses for operators.
control_of() {
	jq -r '[.processes[]|select(.role=="control")|
		"127.0.0.1:\(.ports.http)"]|join(",")' "$1/deployment.json"
}
