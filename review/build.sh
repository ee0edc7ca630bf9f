#!/bin/bash
# Builds the stand-ins and the programs of the cases into target/review/. The gateway is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in standin 1 2 3; do
  name=$program
  [ "$program" = standin ] || name=case$program
  go build -o "target/review/$name" "./review/$program"
done
