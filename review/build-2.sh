#!/usr/bin/env bash
# Builds the stand-ins of the cases from 4 on, after the build of deploy/service.toml. It needs that build's packages alone.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_BEAST_SEPARATE_COMPILATION)
pids=()
for source in libraries platform cases backed_off stage; do
  g++ "${flags[@]}" -c "review/standins-2/$source.cpp" -o "$out/$source.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ "$out"/{libraries,platform,cases,backed_off,stage}.o -o "$out/stage" -pthread
echo "built $out/stage"
