#!/usr/bin/env bash
# The regression runs on the users' bench: seven sites, quick (the two roughest days of each) or in full with a hunt and
# the days of our own (bench/days) on the fleet sites, the hunt sites and the video site.
#
#     bench/regression.sh KITDIR [--full] [--days N] [--why TEXT]
#
# A site that seems to have fallen is played twice more, and the median counts: equal sources differ by up to 0.05 there.
#
# Figures of the bench before the one in more/hunt are no baseline: only entries from its first commit on count. Without
# any (no such commit, or a shallow copy of the history) that is told in one line and the script ends with 2; a single
# site without a committed figure is told with "-" in its place.
#
# Prints site, figure, the figure last committed in journal/ for the same kind of run (the median of the last five of
# them: a single one may be any of that spread), and the difference. Exit
# codes: 0 all well, 1 a rule was broken, a day failed or a figure fell by over 0.03, 2 usage, 3 the bench did not
# end as it should. All figures are of simulated machines. Needs jq and git; the journal entries are left to be
# committed as they are.
set -euo pipefail

usage() {
  echo "usage: bench/regression.sh KITDIR [--full] [--days N] [--why TEXT]" >&2
  exit 2
}

kit="" full=0 days=4 why="regression of the seven sites"
while [ $# -gt 0 ]; do
  case "$1" in
    --full) full=1 ;;
    --days) [ $# -gt 1 ] || usage; days=$2; shift ;;
    --why) [ $# -gt 1 ] || usage; why=$2; shift ;;
    -*) usage ;;
    *) [ -z "$kit" ] || usage; kit=$1 ;;
  esac
  shift
done
[ -n "$kit" ] || usage
bench=$kit/more/hunt/bin/fleetbench
[ -x "$bench" ] || { echo "no bench at $bench" >&2; exit 2; }
command -v jq >/dev/null || { echo "jq is needed" >&2; exit 2; }
cd "$(git rev-parse --show-toplevel)"

sites=(added/quetzal-deportes-video change/quetzal-socios-next change/fraser-gavel-next
  more/fleet/quetzal-socios-fleet more/fleet/fraser-gavel-fleet
  more/hunt/quetzal-socios-hunt more/hunt/fraser-gavel-hunt)
files=()
for s in "${sites[@]}"; do
  [ -f "$kit/$s.toml" ] || { echo "no site file at $kit/$s.toml" >&2; exit 2; }
  files+=("$kit/$s.toml")
done
args=()
[ "$full" -eq 1 ] || args+=(--quick)

# Quick and full scores are not comparable: only entries of the same kind count.
# shellcheck disable=SC2016  # $quick is one of jq's
select_kind='select(.cmd=="score" and .score!=null and .ok==true) | select((.argv|index("--quick")!=null)==$quick)'
quick=$([ "$full" -eq 1 ] && echo false || echo true)
committed=$(mktemp)
log=$(mktemp)
trap 'rm -f "$committed" "$log"' EXIT
{ git ls-tree --name-only HEAD journal/ | grep '\.json$' || true; } | sort |
  while read -r entry; do git show "HEAD:$entry"; done |
  jq -r --argjson quick "$quick" "$select_kind | [.site, .score, .at[0]] | @tsv" >"$log"
# An entry does not say which bench wrote it: the first ones of this one are those of the hunt sites.
since=$(awk -F'\t' '$1 ~ /-hunt$/ && (m == "" || $3 < m) {m = $3} END {print m}' "$log")
[ -n "$since" ] || { echo "no baseline: journal/ holds no such score of a hunt site" >&2; exit 2; }
awk -F'\t' -v since="$since" '$3 >= since {print $1 "\t" $2}' "$log" >"$committed"

new_entries() { comm -13 <(echo "$1") <(find journal -maxdepth 1 -name '*.json' | sort); }

before=$(find journal -maxdepth 1 -name '*.json' | sort)
"$bench" score "${files[@]}" "${args[@]}" --why "$why" >"$log" 2>&1 || { cat "$log"; exit 3; }
mapfile -t entries < <(new_entries "$before")
[ "${#entries[@]}" -ge "${#sites[@]}" ] || { cat "$log"; echo "the bench wrote ${#entries[@]} entries" >&2; exit 3; }

# Days of an entry that count for nothing: a failed day has a fault, a broken rule stands in its rules, and either
# brings the day's figure to 0.
wrong_days() {
  jq -r '[.days[] | select((.rules|length)>0 or .fault!=null or .score==0) | .name + " " + (.rules|tostring) +
    " " + (.fault|tostring)] | join("; ")' "$1"
}

bad=0
printf '%-24s %7s %9s %7s  %s\n' site figure committed change ""
for s in "${sites[@]}"; do
  site=${s##*/}
  entry=$(jq -r --arg site "$site" 'select(.site==$site) | input_filename' "${entries[@]}" | tail -n 1)
  [ -n "$entry" ] || { echo "no entry for $site" >&2; exit 3; }
  wrong=$(wrong_days "$entry")
  figure=$(jq -r .score "$entry")
  last=$(awk -F'\t' -v s="$site" '$1==s {print $2}' "$committed" | tail -n 5 | sort -n |
    awk '{v[NR]=$1} END {if (NR) print v[int((NR+1)/2)]}')
  note=""
  if [ -n "$last" ] && awk -v f="$figure" -v l="$last" 'BEGIN {exit !(f < l - 0.03)}'; then
    figures=("$figure")
    for _ in 1 2; do
      before=$(find journal -maxdepth 1 -name '*.json' | sort)
      "$bench" score "$kit/$s.toml" "${args[@]}" --why "$why" >"$log" 2>&1 || { cat "$log"; exit 3; }
      again=$(new_entries "$before" | tail -n 1)
      figures+=("$(jq -r .score "$again")")
      [ -n "$wrong" ] || wrong=$(wrong_days "$again")
    done
    figure=$(printf '%s\n' "${figures[@]}" | sort -n | sed -n 2p)
    note="median of ${figures[*]}"
  fi
  awk -v site="$site" -v f="$figure" -v l="$last" -v wrong="$wrong" -v note="$note" 'BEGIN {
    fell = (l != "" && f < l - 0.03)
    printf "%-24s %7.3f %9s %7s  %s%s\n", site, f, (l == "" ? "-" : sprintf("%.3f", l)),
      (l == "" ? "-" : sprintf("%+.3f", f - l)), (wrong != "" ? "BROKEN " wrong : (fell ? "FELL " : "")), note
    exit (wrong != "" || fell)}' || bad=1
done

if [ "$full" -eq 1 ]; then
  for f in "${files[@]}"; do
    before=$(find journal -maxdepth 1 -name '*.json' | sort)
    "$bench" hunt "$f" --days "$days" --why "$why" >"$log" 2>&1 || bad=1
    entry=$(new_entries "$before" | tail -n 1)
    [ -n "$entry" ] || { cat "$log"; echo "the hunt wrote no entry" >&2; exit 3; }
    wrong=$(wrong_days "$entry")
    [ -z "$wrong" ] || bad=1
    echo "hunt on $(basename "$f" .toml): $(jq '.days|length' "$entry") days, ${wrong:-no rule broken}"
  done
fi
# Days of our own: no rule may break, no day may fail, and of no class may less than half be served. Their figures
# stand in docs/measurements.md.
half_served='[(.classes | to_entries[] | {key, of: .value.jobs,
    served: (.value.done / ([.value.jobs - .value.cancelled, 1] | max))}),
  (.teams | to_entries[] | {key: ("team " + .key), of: .value.jobs, served: (.value.started / ([.value.jobs, 1] | max))}) |
  select(.served < 0.5) | "\(.key) \(.served * 1000 | round / 1000) of \(.of)"] | join(", ")'
report=$(mktemp)
trap 'rm -f "$committed" "$log" "$report"' EXIT
if [ "$full" -eq 1 ]; then
  for s in more/fleet/quetzal-socios-fleet more/fleet/fraser-gavel-fleet more/hunt/quetzal-socios-hunt \
    more/hunt/fraser-gavel-hunt added/quetzal-deportes-video; do
    for day in bench/days/*.toml bench/days/"${s##*/}"/*.toml; do
      [ -f "$day" ] || continue  # a site without days of its own
      before=$(find journal -maxdepth 1 -name '*.json' | sort)
      "$bench" run "$kit/$s.toml" "$day" --report "$report" >"$log" 2>&1 || bad=1
      entry=$(new_entries "$before" | tail -n 1)
      [ -n "$entry" ] || { cat "$log"; echo "the day wrote no entry" >&2; exit 3; }
      wrong=$(wrong_days "$entry")
      less=$(jq -r "$half_served" "$report")
      [ -z "$less" ] || wrong="$wrong less than half served: $less"
      [ -z "$wrong" ] || bad=1
      killed=$(grep -o '[0-9]* killed by their lease' "$log" | head -n 1)
      echo "$(basename "$day" .toml) on ${s##*/}: $(jq '.days[0].score' "$entry"), ${killed:-no tasks}, ${wrong:-no rule broken}"
    done
  done
fi
exit "$bad"
