#!/bin/sh
# Plays the case once; exits with 1 if the rule was broken, 0 if it held.
cd "$(dirname "$0")" && exec python3 play.py
