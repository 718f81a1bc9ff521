#!/usr/bin/env bash
# The demo: a feed, an upload, orders and a sheet through a killed balancer and
# a draining backend server.
set -euo pipefail
PORT_BASE=28000 bash support/demo.sh
