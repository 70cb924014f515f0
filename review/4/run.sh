#!/bin/bash
# Plays case 4; TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../run-case.sh" 4
