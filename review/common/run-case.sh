#!/bin/sh
# Runs the script of a case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
cd "$(dirname "$0")/../$1" || exit 2
timeout -k 5 110 node run.mjs
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
