#!/usr/bin/env bash
# Draws SVG plots of the tables under out/measure with gnuplot; a table that
# wasn't measured is passed over.
set -euo pipefail
cd "$(dirname "$0")/../.."
tables=out/measure

# plot NAME COMMANDS: draws out/measure/NAME.svg from the data on standard input.
plot() {
    local data=$tables/$1.dat
    cat >"$data"
    [[ -s $data ]] || { rm -f "$data"; return 0; }
    gnuplot <<GNUPLOT
set terminal svg size 760,420 font "sans,12" background "white"
set output "$tables/$1.svg"
set grid ytics
data = "$data"
$2
GNUPLOT
    rm -f "$data"
    echo "drawn: $tables/$1.svg"
}

# Rows "label" daisytrail least-connections random of the requests table. A
# section begins behind an empty line.
requests_rows() {
    awk '
        BEGIN {
            label["crest", "p99 of admitted"] = "crest: p99 short, s"
            label["head of line:", "p99 short /"] = "p99 ratio, stragglers"
            label["head of line,", "p99 short /"] = "the same, no class"
            label["speeds", "utilisation"] = "speeds 1:4, max/mean"
            label["silently", "share spoiled"] = "spoiled by a slow one"
            label["fails fast", "share spoiled"] = "by one failing fast"
        }
        last == "" { section = $0 }
        { last = $0 }
        {
            for (key in label) {
                split(key, part, SUBSEP)
                if (index(section, part[1]) && index($0, part[2]) == 1) {
                    row = $0
                    sub(/ +(met|NOT MET) *$/, "", row)
                    n = split(row, word, " ")
                    printf "\"%s\" %s %s %s\n", label[key],
                        word[n - 2], word[n - 1], word[n]
                }
            }
        }' "$1"
}

if [[ -f $tables/requests.txt ]]; then
    requests_rows "$tables/requests.txt" |
        plot requests '
set title "requests: lower is better, logarithmic"
set style data histogram
set style histogram clustered
set style fill solid 0.8
set logscale y
set yrange [0.001:30]
set xtics rotate by -20
plot data using 2:xtic(1) title "daisytrail", "" using 3 title "least connections", "" using 4 title "random"'
fi

if [[ -f $tables/forwarding.txt ]]; then
    awk '/^one pick among/ { print $4, $5 }' "$tables/forwarding.txt" |
        plot pick '
set title "cost of one pick"
set xlabel "targets of the service"
set ylabel "ns"
set logscale x
set yrange [0:*]
plot data using 1:2 with linespoints pt 7 title "daisytrail", 100 title "goal"'
fi

if [[ -f $tables/flows.txt ]]; then
    awk '/open flows:/ { print $2, $5 }' "$tables/flows.txt" |
        plot segments '
set title "cost of a segment in lwIP"
set xlabel "open flows of the agent"
set ylabel "us"
plot data using 1:2 with linespoints pt 7 title "random flow"'
fi
