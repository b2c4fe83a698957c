#!/bin/sh
# TROUBLE=0 leaves out the entry of the other writer.
exec python3 "$(dirname "$0")/case.py"
