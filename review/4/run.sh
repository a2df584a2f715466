#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 plays
# without the disruption. Build first: the command of deploy/system.toml, then review/build.sh.
exec "$(dirname "$0")/../play.sh" "$(cd "$(dirname "$0")" && pwd)" foreign-entries
