#!/usr/bin/env bash
# Builds the cases 4 to 8 and their stand-ins (review/lab-2) into target/review-2. Run after the build of deploy/service.toml; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
javac=javac
command -v javac > /dev/null || javac="$(dirname "$(readlink -f "$(command -v java)")")/javac"
rm -rf target/review-2
mkdir -p target/review-2
"$javac" -nowarn -encoding UTF-8 -d target/review-2 review/lab-2/*.java
