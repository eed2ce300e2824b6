#!/usr/bin/env bash
# Plays the regression runs of seven sites on the users' bench and compares their figures with the last committed ones.
#
#     bench/regression.sh KITDIR [--full] [--days N] [--why TEXT]
#
# Without --full, the bench scores the two roughest days of each site. With --full, it scores all days of each site, runs a
# hunt of N days on each and plays the days in bench/days on the fleet sites, the hunt sites and the video site.
#
# The script prints site, figure, committed figure and difference. The committed figure is the median of the last five
# entries in journal/ for the same kind of run, because a single figure can lie anywhere in their spread. If a figure has
# fallen by over 0.03, the script plays the site twice more and takes the median of the three: on equal sources figures
# differ by up to 0.05.
#
# Only entries that the current bench (more/hunt) wrote count as a baseline, since figures of earlier benches are not
# comparable: these are the entries from the first one of a hunt site on. If there is none, as in a shallow clone of the
# history, the script says so and exits with 2. A single site without a committed figure shows "-" instead.
#
# Exit codes: 0 no rule was broken and no figure fell, 1 a rule was broken, a day failed or a figure fell by over 0.03,
# 2 wrong usage, 3 the bench did not end as expected. All figures are of simulated machines. The script needs jq and git. It
# leaves the new journal entries as they are; they are to be committed.
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

site_paths=(added/quetzal-deportes-video change/quetzal-socios-next change/fraser-gavel-next
  more/fleet/quetzal-socios-fleet more/fleet/fraser-gavel-fleet
  more/hunt/quetzal-socios-hunt more/hunt/fraser-gavel-hunt)
site_files=()
for path in "${site_paths[@]}"; do
  [ -f "$kit/$path.toml" ] || { echo "no site file at $kit/$path.toml" >&2; exit 2; }
  site_files+=("$kit/$path.toml")
done
args=()
[ "$full" -eq 1 ] || args+=(--quick)

# Quick and full scores are not comparable, so only entries of the same kind count.
# shellcheck disable=SC2016  # $quick is a variable of jq.
select_kind='select(.cmd=="score" and .score!=null and .ok==true) | select((.argv|index("--quick")!=null)==$quick)'
quick=$([ "$full" -eq 1 ] && echo false || echo true)
committed=$(mktemp)
log=$(mktemp)
trap 'rm -f "$committed" "$log"' EXIT
{ git ls-tree --name-only HEAD journal/ | grep '\.json$' || true; } | sort |
  while read -r entry; do git show "HEAD:$entry"; done |
  jq -r --argjson quick "$quick" "$select_kind | [.site, .score, .at[0]] | @tsv" >"$log"
# An entry does not record which bench wrote it. The current bench is the first one with hunt sites, so its entries begin with
# the earliest entry of a hunt site.
since=$(awk -F'\t' '$1 ~ /-hunt$/ && (earliest == "" || $3 < earliest) {earliest = $3} END {print earliest}' "$log")
[ -n "$since" ] || { echo "no baseline: journal/ has no score of a hunt site for this kind of run" >&2; exit 2; }
awk -F'\t' -v since="$since" '$3 >= since {print $1 "\t" $2}' "$log" >"$committed"

# Prints the journal entries that are not in the list $1.
new_entries() { comm -13 <(echo "$1") <(find journal -maxdepth 1 -name '*.json' | sort); }

before=$(find journal -maxdepth 1 -name '*.json' | sort)
"$bench" score "${site_files[@]}" "${args[@]}" --why "$why" >"$log" 2>&1 || { cat "$log"; exit 3; }
mapfile -t entries < <(new_entries "$before")
[ "${#entries[@]}" -ge "${#site_paths[@]}" ] || { cat "$log"; echo "the bench wrote ${#entries[@]} entries" >&2; exit 3; }

# Prints the days of journal entry $1 that failed (they have a fault) or on which a rule was broken (listed in their rules).
# Both set the day's figure to 0, so a day with this figure counts as failed too.
failed_days() {
  jq -r '[.days[] | select((.rules|length)>0 or .fault!=null or .score==0) | .name + " " + (.rules|tostring) +
    " " + (.fault|tostring)] | join("; ")' "$1"
}

exit_code=0
printf '%-24s %7s %9s %7s  %s\n' site figure committed change ""
for path in "${site_paths[@]}"; do
  site=${path##*/}
  entry=$(jq -r --arg site "$site" 'select(.site==$site) | input_filename' "${entries[@]}" | tail -n 1)
  [ -n "$entry" ] || { echo "no entry for $site" >&2; exit 3; }
  failures=$(failed_days "$entry")
  figure=$(jq -r .score "$entry")
  baseline=$(awk -F'\t' -v site="$site" '$1==site {print $2}' "$committed" | tail -n 5 | sort -n |
    awk '{scores[NR]=$1} END {if (NR) print scores[int((NR+1)/2)]}')
  note=""
  if [ -n "$baseline" ] && awk -v figure="$figure" -v baseline="$baseline" 'BEGIN {exit !(figure < baseline - 0.03)}'; then
    figures=("$figure")
    for _ in 1 2; do
      before=$(find journal -maxdepth 1 -name '*.json' | sort)
      "$bench" score "$kit/$path.toml" "${args[@]}" --why "$why" >"$log" 2>&1 || { cat "$log"; exit 3; }
      repeat_entry=$(new_entries "$before" | tail -n 1)
      figures+=("$(jq -r .score "$repeat_entry")")
      [ -n "$failures" ] || failures=$(failed_days "$repeat_entry")
    done
    figure=$(printf '%s\n' "${figures[@]}" | sort -n | sed -n 2p)
    note="median of ${figures[*]}"
  fi
  awk -v site="$site" -v figure="$figure" -v baseline="$baseline" -v failures="$failures" -v note="$note" 'BEGIN {
    fell = (baseline != "" && figure < baseline - 0.03)
    printf "%-24s %7.3f %9s %7s  %s%s\n", site, figure, (baseline == "" ? "-" : sprintf("%.3f", baseline)),
      (baseline == "" ? "-" : sprintf("%+.3f", figure - baseline)), (failures != "" ? "BROKEN " failures : (fell ? "FELL " : "")), note
    exit (failures != "" || fell)}' || exit_code=1
done

if [ "$full" -eq 1 ]; then
  for f in "${site_files[@]}"; do
    before=$(find journal -maxdepth 1 -name '*.json' | sort)
    "$bench" hunt "$f" --days "$days" --why "$why" >"$log" 2>&1 || exit_code=1
    entry=$(new_entries "$before" | tail -n 1)
    [ -n "$entry" ] || { cat "$log"; echo "the hunt wrote no entry" >&2; exit 3; }
    failures=$(failed_days "$entry")
    [ -z "$failures" ] || exit_code=1
    echo "hunt on $(basename "$f" .toml): $(jq '.days|length' "$entry") days, ${failures:-no rule broken}"
  done
fi
# On the days in bench/days no rule may be broken, no day may fail, and at least half of the jobs of each class and team must
# be served. docs/measurements.md lists their figures.
select_underserved='[(.classes | to_entries[] | {key, of: .value.jobs,
    served: (.value.done / ([.value.jobs - .value.cancelled, 1] | max))}),
  (.teams | to_entries[] | {key: ("team " + .key), of: .value.jobs, served: (.value.started / ([.value.jobs, 1] | max))}) |
  select(.served < 0.5) | "\(.key) \(.served * 1000 | round / 1000) of \(.of)"] | join(", ")'
report=$(mktemp)
trap 'rm -f "$committed" "$log" "$report"' EXIT
if [ "$full" -eq 1 ]; then
  for path in more/fleet/quetzal-socios-fleet more/fleet/fraser-gavel-fleet more/hunt/quetzal-socios-hunt \
    more/hunt/fraser-gavel-hunt added/quetzal-deportes-video; do
    for day in bench/days/*.toml bench/days/"${path##*/}"/*.toml; do
      [ -f "$day" ] || continue  # A site need not have days in a folder of its own.
      before=$(find journal -maxdepth 1 -name '*.json' | sort)
      "$bench" run "$kit/$path.toml" "$day" --report "$report" >"$log" 2>&1 || exit_code=1
      entry=$(new_entries "$before" | tail -n 1)
      [ -n "$entry" ] || { cat "$log"; echo "the day wrote no entry" >&2; exit 3; }
      failures=$(failed_days "$entry")
      underserved=$(jq -r "$select_underserved" "$report")
      [ -z "$underserved" ] || failures="$failures less than half served: $underserved"
      [ -z "$failures" ] || exit_code=1
      killed=$(grep -o '[0-9]* killed by their lease' "$log" | head -n 1)
      echo "$(basename "$day" .toml) on ${path##*/}: $(jq '.days[0].score' "$entry"), ${killed:-no tasks}, ${failures:-no rule broken}"
    done
  done
fi
exit "$exit_code"
