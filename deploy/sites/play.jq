# A line a group of days of a play (the days of one first word, the worst of them named), and one for ALL.
# $play is the play's name. Reads what `lbreal score --json` writes.

def pad($to): tostring | . + (" " * ([$to - length, 0] | max));
def f3: if . == null then "?" else (. * 1000 | round) as $n | ($n | fabs) as $a
  | (if $n < 0 then "-" else "" end) + ($a / 1000 | floor | tostring) + "." + ("00\($a % 1000)"[-3:]) end;
def signed: if (. // 0) < 0 then f3 else "+" + f3 end;
def sum(f): [.[] | f | .. | numbers] | add // 0;
def named: to_entries | map(select(.value != 0) | "\(.key) \(.value)") | join(", ");

# What the bench says of a day against its own bars, each with its distance: the day, classes, tenants.
def bars: .row as $row
  | [["day", $row.served, $row.served_least]]
    + [$row.by_class[]? | .[0] |= "class " + .] + [$row.by_tenant[]? | .[0] |= "tenant " + .]
  | map(select((.[1] != null) and ((.[2] // 0) > 0))
        | {what: .[0], served: .[1], wanted: .[2], over: (.[1] - .[2])});

# Over all days of `--panel brink`: a third of what the late-seeing policy serves, in all and of each class.
def thirds:
  [{what: "all days", offered: (map(.worth_offered) | add), served: (map(.worth_served) | add),
    late: (map((.row.served_late // 0) * .worth_offered) | add)}]
  + ([.[] | .row.by_class as $by | .classes[] | .name as $name
      | . + {what: "all days, class \(.name)",
             late: (.offered * 2 * ([$by[] | select(.[0] == $name) | .[2]] | add // 0))}]
     | group_by(.what)
     | map({what: .[0].what, offered: (map(.offered) | add), served: (map(.served) | add),
            late: (map(.late) | add)}))
  | map(select(.offered > 0) | {what, served: (.served / .offered), wanted: (.late / .offered / 3)}
        | .over = .served - .wanted);

# What the gate holds of a day: its bars, but on brink a fifth of the late-seeing policy's, `crowd` aside.
def gate: if .row.name | contains("brink") | not then bars
  elif (.row.name | contains("crowd")) or .row.served == null then []
  else [.row | {what: "a fifth", served, wanted: (.served_late / 5), over: (.served - .served_late / 5)}] end;
def nearest(f): [.[] | (.row | {day: .name, seed}) as $at | f[] | . + $at] | min_by(.over);
def told: if . == null then "nothing measured"
  else "\(.over | signed) (\(.what) \(.served | f3) of \(.wanted | f3)"
    + (if .day then ", \(.day), seed \(.seed))" else ")" end) end;

def counts: . as $days
  | (reduce (.[] | .row.rules // {} | to_entries[]) as $it ({}; .[$it.key] += $it.value) | named) as $rules
  | ({left: sum(.real.seen.left_waiting), gone: sum(.real.seen.gone_waiting),
      closed: sum(.real.seen.closed_unserved), unreached: sum(.real.seen.unreached)} | named) as $rest
  | [.[].real.seen.restart_s[]?] as $restarts
  | ([.[] | .row.fault // .fault | values] | unique | map(tostring)) as $faults
  | "rules \(if $rules == "" then "kept" else "BROKEN " + $rules end)"
    + "  unanswered \(sum(.real.seen.overdue))\(if $rest == "" then "" else " (\($rest))" end)"
    + "  turned all away \(sum(.row.shunned))"
    + "  restarts \($restarts | length)"
    + (if $restarts == [] then "" else
        ([$restarts[] | select(. <= 10)] | length * 1000 / ($restarts | length) | round / 10) as $soon
        | " (\($soon) % in 10 s)" end)
    + "  faults \($faults | length)\(if $faults == [] then "" else ": " + ($faults | join("; ")) end)";

def line($day): (.[0].row.name | contains("brink")) as $brink
  | ([nearest(gate)] + (if $brink and $day == "ALL" then thirds else [] end)
     | map(values) | min_by(.over)) as $it
  | ([.[] | select(.row.gate != null) | "\(.row.name): \(.row.gate)"] | join("; ")) as $missed
  | "\($play | pad(18)) \($day | pad(6)) \(length | pad(2)) days  "
    + "served \([.[].row.served] | min | f3) to \([.[].row.served] | max | f3)  least \($it | told)  "
    + (if $brink then "days' own bars, not held: \(nearest(bars) | told)  " else "" end)
    + counts + (if $missed == "" then "" else "  GATE \($missed)" end);

. as $root | .days as $days
| (reduce ($days[] | .row.name | split("+")[0]) as $it ([]; if index([$it]) then . else . + [$it] end))
  as $groups
| ($groups[] as $it | [$days[] | select(.row.name | split("+")[0] == $it)] | line($it)),
  ($days | line("ALL")
    + "  score \($root.score // 0 | f3)  "
    + if $root.gate.passed then "GATE PASSED" else "GATE FAILED: \($root.gate.why)" end)
