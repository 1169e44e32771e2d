#!/bin/sh
# Measures every slope of docs/CAPACITY.md and rewrites the tables between its marks.
#
# Builds release programs, runs toucanturn-capacity (two to three minutes, at most 30 processes) and
# puts each table `@@ name` between `<!-- measured: name -->` and `<!-- end -->`. With a file as
# argument it takes that output instead of a new run.
set -eu
cd "$(dirname "$0")/.."
page=docs/CAPACITY.md
tables=${1:-}
if [ -z "$tables" ]; then
    tables=$(mktemp)
    trap 'rm -f "$tables"' EXIT
    cargo build --release -p toucanturnd -p toucanturn-standin
    cargo run --release -p toucanturn-lab --bin toucanturn-capacity >"$tables"
fi
new=$(mktemp)
awk '
    NR == FNR {
        if ($1 == "@@") { name = $2 } else { text[name] = text[name] $0 "\n" }
        next
    }
    /^<!-- measured: / {
        if (!($3 in text)) { print "no table " $3 > "/dev/stderr"; bad = 1; exit }
        print; printf "%s", text[$3]; used[$3] = 1; inside = 1; next
    }
    /^<!-- end -->/ { inside = 0 }
    !inside { print }
    END {
        for (name in text) if (!(name in used)) { print "no place for " name > "/dev/stderr"; bad = 1 }
        exit bad
    }
' "$tables" "$page" >"$new"
cat "$new" >"$page"
rm -f "$new"
