#!/bin/sh
exec "$(dirname "$0")/../common/run-case.sh" 5
