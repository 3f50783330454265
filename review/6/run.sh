#!/bin/sh
# Exits with 1 if a message that was taken on is lost, 0 if none is, 2 if the case couldn't run. TROUBLE=0: no outage.
# What was sent, answered and run is written to record.txt beside this script.
cd "$(dirname "$0")" && exec python3 case.py
