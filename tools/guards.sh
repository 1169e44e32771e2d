#!/usr/bin/env bash
# Takes the guards of docs/GUARDS.md out one at a time, on a copy, and checks that the test named
# for each goes red. Not part of .ci/run: it builds the workspace anew and then once a guard.
#
#     tools/guards.sh [GUARD...]      all guards, or those that are named
#
# Exits 1 if a guard isn't missed by its test, and 2 if that can't be told: the guard's line wasn't
# found, the copy doesn't build without it, or its test fails also with it.
set -euo pipefail

# Longest run of one test; one that hangs without its guard counts as red.
LIMIT=300

root=$(cd "$(dirname "$0")/.." && pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
mkdir "$copy/tree"
git -C "$root" archive HEAD | tar -x -C "$copy/tree"
cd "$copy/tree"
export CARGO_TARGET_DIR="$copy/target" CARGO_TERM_COLOR=never

wanted=("$@")
worst=0
printf '%-22s %-38s %s\n' guard test verdict

# report GUARD TEST VERDICT CODE
report() {
    printf '%-22s %-38s %s\n' "$1" "$2" "$3"
    if [ "$4" -gt "$worst" ]; then worst=$4; fi
}

is_wanted() {
    [ ${#wanted[@]} -eq 0 ] && return 0
    local name
    for name in "${wanted[@]}"; do
        [ "$name" = "$1" ] && return 0
    done
    return 1
}

# run_test CRATE TARGET TEST: succeeds when the test ran and passed. A name that matches no test
# passes in cargo's eyes, and would show every guard as not missed.
run_test() {
    timeout "$LIMIT" cargo test -q -p "$1" --test "$2" -- --exact "$3" >"$copy/out" 2>&1 || return 1
    grep -q 'test result: ok. 1 passed' "$copy/out"
}

# guard NAME FILE SED CRATE TARGET TEST
guard() {
    local name=$1 file=$2 edit=$3 crate=$4 target=$5 test=$6
    local short="$crate $target"
    is_wanted "$name" || return 0
    if ! run_test "$crate" "$target" "$test"; then
        report "$name" "$short" "its test fails with the guard" 2
        return 0
    fi
    cp "$file" "$copy/kept"
    sed -i -E "$edit" "$file"
    if cmp -s "$file" "$copy/kept"; then
        report "$name" "$short" "its line was not found" 2
    elif ! cargo test -q -p "$crate" --test "$target" --no-run >"$copy/out" 2>&1; then
        report "$name" "$short" "no build without it" 2
    elif run_test "$crate" "$target" "$test"; then
        report "$name" "$short" "NOT MISSED" 1
    else
        report "$name" "$short" "red without it" 0
    fi
    # A new time of change, so that cargo builds it again.
    cat "$copy/kept" >"$file"
}

guard lease crates/core/src/once/mod.rs \
    's/let until = self\.lease\.held_until\(now\)\?;/let until = now.mono + Millis(1000);/' \
    toucanturn-core once keys::verify_nothing_is_sent_after_the_lease
guard promise crates/core/src/once/vote.rs \
    '/Some\(promise\) if now\.mono < promise\.until => return false,/d' \
    toucanturn-core once lease::verify_a_voter_keeps_its_promise_over_a_change_of_epoch
guard key_date crates/core/src/once/mod.rs \
    's/if foreign \|\| old \|\|/if old ||/' \
    toucanturn-core once keys::verify_a_key_made_before_the_tenure_is_unknown
guard one_spelling crates/router/src/filters/classify.rs \
    's/if !is_plain\(/if false \&\& !is_plain(/' \
    toucanturnd daemon answers::verify_an_order_has_one_spelling
guard own_answer crates/router/src/exchange/attempt.rs \
    's/if (ids\.next\(\)\.is_none_or\(other\) \|\| ids\.any\(other\))/if false \&\& (\1)/' \
    toucanturnd daemon answers::verify_a_crossed_answer_reaches_nobody
guard end_mark crates/router/src/exchange/attempt.rs \
    's|// Silent, broken off, or ended; .*|Ok(None) => return End::Whole(Answer::default()),|' \
    toucanturnd daemon answers::verify_a_stream_without_its_end_mark_is_told_as_broken
guard leaving_sticks crates/core/src/membership/mod.rs \
    's/record\.states_incarnation \|= polled && self_report\.life\.is_some\(\);/record.leaving = false; &/' \
    toucanturn-core membership verify_leaving_sticks_to_one_life
guard fresh_view crates/core/src/membership/member.rs \
    's/\(Some\(at\), _\) => .*/(Some(_), _) => false,/' \
    toucanturnd daemon freeze::verify_a_router_that_wakes_gives_a_leaving_engine_no_work
guard revision_up crates/core/src/config/store.rs \
    's/if revision <= current \|\| revision == held \|\| /if /' \
    toucanturn-core config_merge verify_a_stale_or_broken_service_changes_nothing
guard mac crates/wire/src/envelope.rs \
    's/if !whole \|\| checked\.is_err\(\)/if !whole/' \
    toucanturn-wire envelope verify_no_altered_bit_opens
guard replay crates/wire/src/window.rs \
    's/if \*block & bit != 0 \{/if false {/' \
    toucanturn-wire envelope verify_the_window_takes_each_number_once
guard token_workspace crates/router/src/tokens.rs \
    '/mac\.update\(&workspace\.0\.to_le_bytes\(\)\);/d' \
    toucanturnd daemon answers::verify_a_token_serves_its_own_workspace_only
guard grants crates/core/src/limits/bucket.rs \
    '/self\.micro -= micro;/d' \
    toucanturn-core limits verify_limit_is_fleet_wide_with_7_routers
guard nothing_left crates/core/src/retry.rs \
    's/Work::Once \{ \.\. \} => false,/Work::Once { .. } => true,/' \
    toucanturn-core retry verify_what_may_not_be_repeated_is_sent_again_only_when_nothing_left
guard evacuation crates/core/src/gateway/endpoint/mod.rs \
    's/self\.stays_listed\(\) && self\.evacuated\.is_none\(\)/self.stays_listed()/' \
    toucanturn-platform path evacuations::verify_an_evacuated_data_center_gets_nothing_until_it_is_restored
guard evacuation_proof crates/core/src/gateway/attempt/sending.rs \
    's/self\.proof\.covers_evacuations\(now, &self\.bounds\)/true/' \
    toucanturn-core gateway evacuation::verify_nothing_goes_out_once_an_evacuation_could_be_unknown
guard cold_quota crates/core/src/gateway/place/mod.rs \
    's/\|\| warmup\.admits\(context\.now, \*key\)/|| true/' \
    toucanturn-platform path evacuations::verify_requests_go_round_a_cold_endpoint_where_others_are_warm
guard cold_owners crates/core/src/gateway/limits/warmup.rs \
    's/u32::from\(owns\)/1/' \
    toucanturn-core gateway warmup::verify_all_routers_together_keep_the_bound_of_a_cold_endpoint
guard cold_memory crates/core/src/gateway/limits/warmup.rs \
    's/if !heard\.is_empty\(\) \{/if true {/; s/now\.since\(\*at\) < MEMBER_TTL/heard.contains(tag)/; s/retain\(\|_, at\|/retain(|tag, _|/' \
    toucanturn-core gateway warmup::verify_routers_that_are_cut_off_alone_keep_to_their_parts
guard cold_settle crates/core/src/gateway/limits/warmup.rs \
    's/\(quiet \|\| now\.since\(started\) >= MAX_DISCOVERY_TIME\) && !isolated/!isolated/' \
    toucanturn-core gateway warmup::verify_a_router_that_has_just_started_sends_nothing_to_a_cold_endpoint
guard cold_restored crates/core/src/gateway/registry/removal.rs \
    '/endpoint\.doubt\(now, cold\(&endpoint\.entry\.service\)\);/d' \
    toucanturn-core gateway warmup::verify_endpoints_of_a_restored_data_center_are_taken_as_cold
guard cold_late crates/core/src/gateway/attempt/sending.rs \
    's/counted && !spared && goes_on/!spared \&\& goes_on/' \
    toucanturn-core gateway warmup::verify_an_endpoint_that_turns_cold_after_it_was_chosen_is_left_out
guard said_leaving crates/core/src/gateway/endpoint/mod.rs \
    's/if signals\.leaving && self\.state/if false \&\& self.state/; s/ && !self\.signals\.leaving//' \
    toucanturn-platform path signals::verify_an_endpoint_that_said_it_leaves_gets_nothing_after_a_registry_outage
guard said_unlisted crates/core/src/gateway/registry/mod.rs \
    's/if let Some\(signals\) = self\.unlisted_signals\.shift_remove\(&endpoint\.tag\(\)\)/if let Some(signals) = None/' \
    toucanturn-core gateway signals::verify_an_entry_that_comes_back_does_not_end_what_the_endpoint_said
guard back_off crates/core/src/gateway/place/mod.rs \
    's/&& !e\.backing_off\(context\.now\)/\&\& true/' \
    toucanturn-core gateway signals::verify_the_only_endpoint_gets_nothing_until_the_end_of_its_pause
guard back_off_late crates/core/src/gateway/attempt/sending.rs \
    's/!backing_off && self\.is_confirmed/self.is_confirmed/' \
    toucanturn-core gateway signals::verify_a_placed_request_is_not_sent_to_an_endpoint_that_pauses_meanwhile

guard handoff_replay crates/gateway/src/handoff.rs \
    's/if !session\.advance\(position\)/if session.advance(position) \&\& false/' \
    toucanturn-platform path cut_off::verify_forged_and_copied_hand_offs_are_refused

guard handoff_loop crates/core/src/gateway/fleet/handoff/choice.rs \
    's/if ticket\.from_peer \|\| ticket\.peers/if ticket.peers/' \
    toucanturn-core gateway handoff::verify_a_request_of_a_peer_is_never_handed_on

guard handoff_once crates/core/src/gateway/fleet/handoff/mod.rs \
    's/ticket\.remote_attempts \+= left;/ticket.remote_attempts += left * 0;/' \
    toucanturn-core gateway handoff::verify_a_call_whose_peer_broke_off_is_not_sent_again

guard handoff_count crates/core/src/gateway/fleet/handoff/mod.rs \
    's/if ticket\.counted && ticket\.attempts\(\) == 0/if ticket.counted \&\& ticket.attempts() == 9/' \
    toucanturn-core gateway handoff::verify_a_handed_request_counts_at_one_router_only

guard brittle_full crates/core/src/gateway/place/mod.rs \
    's/&& context\.spares_brittle\(\*k, e\)/\&\& (true || context.spares_brittle(*k, e))/' \
    toucanturn-core gateway brittle::verify_full_brittle_endpoints_get_no_more_requests_than_they_may_turn_away

guard slot_division crates/core/src/gateway/place/mod.rs \
    's/\(self\.confined && /(false \&\& self.confined \&\& /' \
    toucanturn-core gateway brittle::verify_routers_that_hear_nothing_of_each_other_do_not_overfill_brittle_endpoints

guard listen_backlog crates/gateway/src/server.rs \
    's/LISTEN_BACKLOG: u32 = 1024/LISTEN_BACKLOG: u32 = 128/' \
    toucanturn-gateway listen verify_a_burst_of_connections_waits_until_it_is_accepted

guard lost_poll crates/core/src/membership/member.rs \
    's/LOST_POLL_TIMEOUT: Millis = Millis\(5000\)/LOST_POLL_TIMEOUT: Millis = Millis(1000)/' \
    toucanturn-core membership_wake verify_a_poll_whose_report_is_late_is_not_followed_by_another

guard stream_end crates/gateway/src/relay.rs \
    's/if is_stream && \(self/if false \&\& is_stream \&\& (self/' \
    toucanturn-platform path ends::verify_a_stream_that_ends_with_its_connection_within_an_event_is_not_complete

guard unmarked_reset crates/gateway/src/head_timeout.rs \
    's/true => self\.set_resets\(true\)/true => self.set_resets(false)/' \
    toucanturn-platform path ends::verify_a_stream_is_reset_if_it_breaks_off_at_a_caller_without_chunks

guard unmarked_confirm crates/gateway/src/proxied/endpoint.rs \
    's/reply\.closes \|= framing == Framing::Close;/reply.closes |= false;/' \
    toucanturn-platform path proofs::verify_an_answer_that_ends_with_its_connection_does_not_confirm_its_endpoint

guard unproved_crash crates/core/src/gateway/quarantine/contents.rs \
    's/self\.suspect_mut\(now, answer\.request\)\.add_crash\(now, crash\);//' \
    toucanturn-core gateway quarantine::verify_an_answer_that_ended_with_its_connection_and_endpoint_is_a_crash

guard unproved_part_crash crates/core/src/gateway/quarantine/contents.rs \
    's/parts\.crashed\(now, prompt, crash\);/let _ = prompt;/' \
    toucanturn-core gateway part_quarantine::verify_an_answer_that_ended_with_its_connection_and_endpoint_is_a_crash_of_its_parts

guard part_explained crates/core/src/gateway/quarantine/parts.rs \
    's/ \|\| self\.is_explained\(now, suspect, prompt\)//' \
    toucanturn-core gateway part_quarantine::verify_a_part_whose_crashes_another_one_explains_is_served_alone

guard part_trial_owner crates/core/src/gateway/quarantine/parts.rs \
    's/ \&\& self\.owns\(verdict\.part\)//' \
    toucanturn-core gateway part_quarantine::verify_a_day_has_at_most_three_trials

guard part_retry crates/core/src/gateway/attempt/retry.rs \
    's/let allowed = allowed \&\& !crashes;/let _ = crashes;/' \
    toucanturn-core gateway part_quarantine::verify_a_request_with_a_suspected_part_gets_no_second_attempt

guard share_handoff crates/core/src/gateway/attempt/placement.rs \
    's/peers_have_room: has_full_share,/peers_have_room: false,/' \
    toucanturn-core gateway handoff::verify_a_router_that_has_used_up_its_share_hands_requests_off

guard stream_version crates/core/src/gateway/origin/mod.rs \
    's/Origin::Build\(origin\) => origin == build,/Origin::Build(_) => true,/' \
    toucanturn-platform path builds::verify_a_stream_that_is_taken_up_keeps_its_version

guard mixed_statement crates/core/src/gateway/origin/mod.rs \
    's/\|\| stated\.is_some_and\(\|at\| now\.since\(\*at\) < STATEMENT_TTL\)/|| stated.is_some_and(|_| false)/' \
    toucanturn-core gateway origin::verify_a_peer_s_statement_makes_a_stream_unknown

guard stream_backlog crates/core/src/gateway/origin/reports.rs \
    's/mixed\.contains\(service\) && !self\.reported/false \&\& !self.reported/' \
    toucanturn-core gateway origin::verify_streams_from_before_are_reported_when_a_second_version_appears

guard take_up_proof crates/core/src/gateway/origin/lookup.rs \
    's/is_some_and\(\|read\| read > before\)/is_some()/' \
    toucanturn-core gateway origin::verify_only_a_read_after_a_take_up_proves_its_version

guard missed_reads crates/core/src/gateway/origin/history.rs \
    's/let is_late = now\.since\(last\) > limit;/let is_late = false \&\& now.since(last) > limit;/' \
    toucanturn-core gateway origin::verify_a_router_doubts_what_it_has_not_read

exit "$worst"
