#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
exec timeout --signal=TERM 115 node review/6/case.mjs
