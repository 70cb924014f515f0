#!/bin/bash
exec "$(dirname "$0")/../run-case-2.sh" 7 other_writer
