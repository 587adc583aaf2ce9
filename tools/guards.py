"""The guards: pieces of code that enforce a decision, each with a test that fails without it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Guard:
    """A piece of code, its replacement, and the test that fails with the replacement.

    *code* occurs exactly once in *file*, a path relative to ``src/skylarkrack``. *without* is the
    text that replaces it, and *test* is the full id of the test. *name* is the name by which
    docs/PROOFS.md and the arguments of `tools.unguarded` refer to the guard.
    """

    name: str
    file: str
    code: str
    without: str
    test: str


_CLASS = "tests.test_budget.TestBudgetsOverAllEntries."
_BUDGETS = _CLASS + "test_any_faults_in_any_order"

GUARDS = (
    Guard(
        name="refund-ceiling",
        file="core/_bucket.py",
        code="self.level = min(self.level + amount, ceiling)",
        without="self.level = min(self.level + amount, self.capacity)",
        test="tests.test_budget.TestBucket.test_used_tokens_stay_within_every_window",
    ),
    Guard(
        name="share-hold",
        file="core/_shares.py",
        code="self._fraction = min(self._fraction, target)",
        without="self._fraction = target",
        test=_CLASS + "test_a_larger_share_waits_for_an_entry_with_an_older_roster",
    ),
    Guard(
        name="pledged-share-suspended",
        file="core/_member_share.py",
        code="self._bucket.restart(self._pledged_until_ms)",
        without="pass",
        test=_CLASS + "test_a_pledged_share_does_not_grow_at_its_owner",
    ),
    Guard(
        name="pledge-lease-at-home",
        file="core/_pool.py",
        code="if s.until_ms <= now_ms]",
        without="if s.until_ms <= now_ms - 10_000]",
        test=_BUDGETS,
    ),
    Guard(
        name="own-share-after-pledge",
        file="core/_member_share.py",
        code="            return\n        bucket = self._bucket",
        without="            pass\n        bucket = self._bucket",
        test=_CLASS + "test_a_new_home_waits_for_its_own_pledge_to_the_old_one_to_end",
    ),
    Guard(
        name="lease-before-granting",
        file="core/_budget.py",
        code="        if now_ms > self._lease_until_ms:\n            # A process",
        without="        if False:\n            # A process",
        test=_CLASS + "test_a_resumed_home_does_not_use_its_larger_share_of_an_older_roster",
    ),
    Guard(
        name="incarnation-bound-residency",
        file="core/_engine.py",
        code="if self._table is None or self._table.incarnation != event.incarnation:",
        without="if self._table is None:",
        test="tests.test_engine.TestEngineCore.test_an_engine_that_restarts_empty_is_loaded_again",
    ),
    Guard(
        name="version-in-name",
        file="core/_catalogue.py",
        code='return f"{self.adapter}@{self.version}"',
        without="return self.adapter",
        test="tests.test_engine.TestEngineCore.test_a_request_waits_for_its_own_version",
    ),
    Guard(
        name="late-order-lingers",
        file="core/_residency.py",
        code="may_arrive = busy or now_ms < residency.last_used_ms + MAX_LATE_ARRIVAL_MS",
        without="may_arrive = busy",
        test="tests.test_engine.TestEngineCore.test_a_late_unload_cannot_evict_what_is_in_use_again",
    ),
    Guard(
        name="pin-at-start",
        file="core/_engine.py",
        code="        self._table.pin(served, now_ms=now_ms)\n        running",
        without="        running",
        test="tests.test_engine.TestEngineCore.test_an_adapter_in_use_is_not_evicted",
    ),
    Guard(
        name="pin-of-lost-run",
        file="core/_engine.py",
        code="        running.lost_ms = now_ms\n",
        without="        self._table.unpin(running.served)\n",
        test="tests.test_engine.TestEngineCore.test_a_run_whose_connection_broke_keeps_its_pin",
    ),
    Guard(
        name="foreign-runs-pinned",
        file="core/_engine.py",
        code="        self._pin_foreign_runs(event.running, now_ms)\n",
        without="",
        test="tests.test_engine.TestEngineCore.test_a_new_agent_beside_a_live_engine_pins_what_runs",
    ),
    Guard(
        name="old-report-ignored",
        file="core/_residency.py",
        code=" or asked_ms <= self._changed_ms",
        without="",
        test="tests.test_engine.TestEngineCore.test_a_report_from_before_the_last_order_changes_nothing",
    ),
    Guard(
        name="waiting-adapters-kept",
        file="core/_residency.py",
        code=" and name not in wanted",
        without="",
        test="tests.test_engine.TestEngineCore.test_an_adapter_that_a_waiting_request_needs_is_not_evicted",
    ),
    Guard(
        name="one-order-in-flight",
        file="core/_engine.py",
        code="if self._table.order is not None or self._permit_requested:",
        without="if self._permit_requested:",
        test="tests.test_engine.TestEngineCore.test_one_order_at_a_time",
    ),
    Guard(
        name="patience-checked-at-start",
        file="core/_engine.py",
        code="if waiting.expires_ms <= now_ms or not",
        without="if not",
        test="tests.test_engine.TestEngineCore.test_a_request_past_its_patience_is_never_started",
    ),
    Guard(
        name="fair-queue",
        file="core/_fair_queue.py",
        code="self._counter_by_organisation[run.organisation] += run.tokens / (1 + run.priority)",
        without="pass",
        test="tests.test_engine.TestEngineCore.test_organisations_share_the_engine",
    ),
    Guard(
        name="suspect-alone",
        file="core/_engine.py",
        code="            return not self._running_by_id\n        if any",
        without="            return True\n        if any",
        test="tests.test_engine.TestEngineCore.test_a_suspect_runs_alone",
    ),
    Guard(
        name="lease-ends",
        file="core/_access_lease.py",
        code="return now_ms <= self.ends_ms()",
        without="return True",
        test="tests.test_access.TestAccessLease.test_lease_ends_without_new_evidence",
    ),
    Guard(
        name="newer-peer-no-evidence",
        file="core/_access_lease.py",
        code="        if is_newer:\n            return\n",
        without="",
        test="tests.test_access.TestAccessLease.test_a_peer_with_newer_configuration_renews_nothing",
    ),
    Guard(
        name="silent-domain",
        file="core/_access_lease.py",
        code="return min(answered_ms_by_domain.values()) + MAX_PEER_ANSWER_AGE_MS",
        without="return max(answered_ms_by_domain.values()) + MAX_PEER_ANSWER_AGE_MS",
        test="tests.test_access.TestAccessLease.test_a_silent_domain_ends_the_lease",
    ),
    Guard(
        name="older-value",
        file="core/_configuration.py",
        code="if revision <= state.good_revision:",
        without="if False:",
        test="tests.test_access.TestConfiguration.test_an_older_value_is_ignored",
    ),
    Guard(
        name="ledger-record",
        file="core/_ledger.py",
        code="        if record is not None:\n            return _decide_repeat(record, call)\n",
        without="",
        test="tests.test_ledger.TestLedger.test_a_repeat_gets_the_first_answer",
    ),
    Guard(
        name="ledger-memory-lost",
        file="core/_ledger.py",
        code="self._past_rosters.append(_PastRoster(agents=self._agents, until_ms=now_ms))",
        without="pass",
        test="tests.test_ledger.TestLedger.test_a_restarted_agent_refuses_what_an_earlier_incarnation_may_have_run",
    ),
    Guard(
        name="ledger-home-before",
        file="core/_ledger.py",
        code="for r in [self._agents, *rosters])",
        without="for r in [self._agents])",
        test="tests.test_ledger.TestLedger.test_an_agent_that_has_just_become_the_home",
    ),
    Guard(
        name="ledger-ticket",
        file="core/_ledger.py",
        code="if not ticket.startswith(owner) or not period.isdecimal():",
        without="if not period.isdecimal() and False:",
        test="tests.test_ledger.TestLedger.test_a_ticket_binds_a_key_to_one_incarnation",
    ),
    Guard(
        name="ledger-body",
        file="core/_ledger.py",
        code="if record.body_digest != call.body_digest:",
        without="if False:",
        test="tests.test_ledger.TestLedger.test_the_same_key_with_another_body",
    ),
    Guard(
        name="ledger-record-life",
        file="core/_ledger.py",
        code="RECORD_TTL_MS = TICKET_PERIOD_MS * (TICKET_VALID_PERIODS + 1)",
        without="RECORD_TTL_MS = TICKET_PERIOD_MS",
        test="tests.test_ledger.TestLedger.test_records_outlive_the_tickets_they_were_made_under",
    ),
    Guard(
        name="hold-for-own-share",
        file="core/_budget.py",
        code="if now_ms + wait_ms <= queued.deadline_ms:",
        without="if share.pledge_left_ms(now_ms):",
        test=_CLASS + "test_a_request_during_the_loss_of_the_home_waits_and_is_served",
    ),
    Guard(
        name="not-run-is-true",
        file="core/_offers.py",
        code="refusal.outcome = max(self._outcome, refusal.outcome, key=_OUTCOME_RANK.__getitem__)",
        without="pass",
        test="tests.test_offers.TestOffers.test_the_last_refusal_does_not_hide_an_earlier_run",
    ),
    Guard(
        name="suspected-at-once",
        file="core/_engine.py",
        code="        if running is None or running.lost_ms is not None or self._table is None:",
        without="        if True:",
        test="tests.test_engine.TestEngineCore."
        "test_a_lost_run_is_suspected_before_its_entry_can_offer_it_again",
    ),
    Guard(
        name="offset-checked",
        file="entry/_exchange.py",
        code="if message.offset != self._received or not",
        without="if not",
        test="tests.test_offers.TestOffers.test_an_answer_that_is_not_whole_is_never_ended",
    ),
    Guard(
        name="size-checked",
        file="entry/_exchange.py",
        code="if message.size != self._received or not",
        without="if not",
        test="tests.test_offers.TestOffers.test_an_answer_that_is_not_whole_is_never_ended",
    ),
    Guard(
        name="pools-numbered-by-incarnation",
        file="core/_budget.py",
        code="self._last_pool_number = incarnation << INCARNATION_SHIFT_BITS",
        without="self._last_pool_number = 0",
        test=_CLASS + "test_a_refund_of_a_grant_by_an_earlier_process_is_dropped",
    ),
    Guard(
        name="messages-numbered-by-incarnation",
        file="core/_budget.py",
        code="self._sequence = incarnation << INCARNATION_SHIFT_BITS",
        without="self._sequence = 0",
        test=_CLASS + "test_an_answer_to_an_earlier_process_is_not_taken",
    ),
    Guard(
        name="not-run-of-a-key",
        file="entry/_http_api.py",
        code="        refusal.outcome = Outcome.UNKNOWN",
        without="        pass",
        test="tests.test_faults.TestOrdersUnderFaults.test_a_repeat_while_the_home_is_down",
    ),
    Guard(
        name="ledger-before-refusing",
        file="agent/_service_driver.py",
        code="        if self._ledger.has_record(call):\n            return None\n",
        without="",
        test="tests.test_service_side.TestOutcomesOfRefusals.test_a_repeat_while_draining_gets_the_stored_answer",
    ),
    Guard(
        name="relay-silent-part",
        file="core/relay/_quota_limiter.py",
        code="rate = self.quota.rate_per_s - share_per_s * len(silent)",
        without="rate = self.quota.rate_per_s",
        test="tests.test_relay_usage.TestUsage.test_all_entries_cut_off_from_each_other",
    ),
    Guard(
        name="relay-retired-first",
        file="core/relay/_adapter_scheduler.py",
        code="if self._is_safe_to_evict(adapter_id, now_ms):",
        without="if True:",
        test="tests.test_relay_places.TestPlaces.test_an_eviction_waits_until_every_live_entry_has_heard_of_it",
    ),
    Guard(
        name="relay-listen-first",
        file="core/relay/_adapter_scheduler.py",
        code=" or now_ms < self._first_report_ms + STARTUP_LISTEN_MS",
        without="",
        test="tests.test_relay_places.TestPlaces.test_a_new_agent_listens_before_it_evicts",
    ),
    Guard(
        name="relay-one-order",
        file="core/relay/_adapter_scheduler.py",
        code="if report is None or capacity is None or self._pending is not None:",
        without="if report is None or capacity is None:",
        test="tests.test_relay_places.TestPlaces."
        "test_an_order_without_an_answer_is_not_given_again_at_once",
    ),
    Guard(
        name="relay-lapse-grace",
        file="core/relay/_directory.py",
        code="if self._is_registry_lost or now_ms < self._restored_ms + REREGISTRATION_GRACE_MS:",
        without="if False:",
        test="tests.test_relay_directory.TestDirectory.test_a_lapse_while_the_registry_was_away_is_waited_for",
    ),
    Guard(
        name="relay-older-table",
        file="core/relay/_dispatch.py",
        code="if self.table is not None and event.table.version <= self.table.version:",
        without="if False:",
        test="tests.test_relay_dispatch.TestTable.test_an_older_table_changes_nothing",
    ),
    Guard(
        name="relay-reading-limit",
        file="core/relay/_placement.py",
        code="if prefill_tokens and prefill_tokens + need.prompt_tokens > PREFILL_LIMIT_TOKENS:",
        without="if False:",
        test="tests.test_relay_policy.TestClumpsOfPrompts.test_an_engine_is_not_given_more_than_it_reads_between_two_events",
    ),
    Guard(
        name="relay-at-most-once",
        file="core/relay/_attempts.py",
        code="if self.runs and (not route.is_idempotent or self.runs >= route.max_endpoints):",
        without="if self.runs >= route.max_endpoints + 1:",
        test="tests.test_relay_path.TestAtMostOnce.test_a_request_whose_response_was_lost_is_not_sent_again",
    ),
    Guard(
        name="relay-address-of-the-latest-start",
        file="core/relay/_directory.py",
        code="if not endpoint.is_leaving and not is_superseded:",
        without="if not endpoint.is_leaving:",
        test="tests.test_relay_directory.TestDirectory.test_an_address_is_its_latest_starts",
    ),
    Guard(
        name="relay-debt-paid",
        file="core/relay/_quota_limiter.py",
        code="MAX_DEBT_S = 8.0",
        without="MAX_DEBT_S = 1.0",
        test="tests.test_relay_usage.TestManyEntries.test_twenty_five_times_the_rate",
    ),
    Guard(
        name="relay-bucket-with-table",
        file="core/relay/_quota_limiter.py",
        code="if quota.rate_per_s > 0:",
        without="if False:",
        test="tests.test_relay_usage.TestManyEntries"
        ".test_more_entries_than_requests_in_a_window",
    ),
    Guard(
        name="relay-era-compared",
        file="platform/_watch.py",
        code="if changes.era != self._era:",
        without="if False:",
        test="tests.test_platform_store.TestWatcher"
        ".test_revisions_that_are_given_out_again_hide_no_change",
    ),
    Guard(
        name="relay-old-era-ignored",
        file="platform/_store.py",
        code="if era < self.newest:",
        without="if False:",
        test="tests.test_platform_store.TestStore.test_an_answer_of_an_earlier_era_is_not_used",
    ),
    Guard(
        name="relay-removed-held",
        file="core/relay/_directory.py",
        code="if endpoint.key not in self._removed_keys or now_ms >= until_ms:",
        without="if True:",
        test="tests.test_relay_directory.TestRestoredRegistry"
        ".test_a_removed_endpoint_is_held_back_until_its_registration_would_have_lapsed",
    ),
    Guard(
        name="relay-leaving-answer",
        file="relay/_exchange.py",
        code="if classification.is_leaving and",
        without="if False and",
        test="tests.test_relay_path.TestLeavingAndPausedEndpoints"
        ".test_no_request_follows_an_answer_of_a_leaving_endpoint",
    ),
    Guard(
        name="relay-pause-kept",
        file="relay/_exchange.py",
        code="if classification.pause_ms is not None:",
        without="if False:",
        test="tests.test_relay_path.TestLeavingAndPausedEndpoints"
        ".test_a_paused_endpoint_gets_no_request_until_its_pause_ends",
    ),
    Guard(
        name="relay-step-gap",
        file="core/relay/_store_feed.py",
        code="if step.base > revision or not step.is_complete:",
        without="if False:",
        test="tests.test_platform_store.TestFollower.test_a_missing_step_causes_a_read",
    ),
    Guard(
        name="relay-body-time",
        file="web/_client.py",
        code="async with asyncio.timeout(total_ms / 1000):",
        without="async with asyncio.timeout(None):",
        test="tests.test_endless_bytes.TestOtherReaders.test_every_read_ends",
    ),
    Guard(
        name="relay-long-prompt-reserves",
        file="core/relay/_placement.py",
        code="if not is_overdue:",
        without="if False:",
        test="tests.test_relay_policy.TestClumpsOfPrompts.test_a_long_prompt_is_not_held_back_by_short_ones_that_keep_coming",
    ),
    Guard(
        name="relay-overdue-is-failing",
        file="relay/_exchange.py",
        code="OVERDUE_OBJECTIVES = 2.0",
        without="OVERDUE_OBJECTIVES = 200.0",
        test="tests.test_relay_path.TestRetries.test_a_silent_endpoint_is_avoided",
    ),
    Guard(
        name="relay-unchanged-base",
        file="relay/_gossip.py",
        code="if base != (message.incarnation, message.base) or self._is_outdated(message):",
        without="if self._is_outdated(message):",
        test="tests.test_relay_fleet.TestEngineSnapshots.test_a_heartbeat_whose_snapshot_was_lost_is_ignored",
    ),
    Guard(
        name="relay-close-after-answer",
        file="web/_server.py",
        code="if not responder.has_ended or self._server.is_closing or self._has_dropped_bytes:",
        without="if not responder.has_ended or self._has_dropped_bytes:",
        test="tests.test_relay_path.TestPlannedStop.test_a_connection_closes_after_a_stream_that_was_running",
    ),
    Guard(
        name="relay-caller-left",
        file="relay/_exchange.py",
        code="if self._responder.has_caller_left:",
        without="if False:",
        test="tests.test_relay_path.TestCallerDisconnects.test_a_request_whose_caller_left_is_not_sent_to_another_endpoint",
    ),
    Guard(
        name="relay-good-no-suspect",
        file="core/relay/_crashes.py",
        code="if success_ms is not None and now_ms - success_ms < SUCCESS_TTL_MS:",
        without="if False:",
        test="tests.test_relay_crashes.TestCrashes.test_one_that_is_sent_again_and_again_is_no_suspect",
    ),
    Guard(
        name="relay-segment-quarantine",
        file="core/relay/_crashes.py",
        code="return is_suspect or self.segments.is_refused(segments, now_ms)",
        without="return is_suspect",
        test="tests.test_relay_crashes.TestCrashingRequest.test_different_requests_with_a_segment_that_crashes_endpoints",
    ),
    Guard(
        name="relay-segment-explained",
        file="core/relay/_segments.py",
        code="left = [(i, s & ambiguous if i in explained else s) for i, s in rows]",
        without="left = rows",
        test="tests.test_relay_segments.TestEvidence.test_a_crash_that_is_explained_counts_for_nothing_else",
    ),
    Guard(
        name="relay-segment-wider",
        file="core/relay/_segments.py",
        code="widest = [group for group in leaders if not any(group < other for other in leaders)]",
        without="widest = leaders",
        test="tests.test_relay_segments.TestEvidence.test_a_segment_that_always_came_along_is_served_without_the_other",
    ),
    Guard(
        name="relay-segment-dispute",
        file="core/relay/_segments.py",
        code="            self._dispute(group - suspects)",
        without="            pass",
        test="tests.test_relay_segments.TestReports.test_an_entry_that_knows_better_ends_a_quarantine",
    ),
    Guard(
        name="relay-own-answer",
        file="web/_client.py",
        code="if is_own is None or is_own(head.headers):",
        without="if True:",
        test="tests.test_relay_path.TestConnections.test_a_late_response_on_a_reused_connection_is_ignored",
    ),
    Guard(
        name="relay-key-stripped",
        file="platform/_headers.py",
        code="        _KEY,\n        _TIMEOUT,\n",
        without="        _TIMEOUT,\n",
        test="tests.test_relay_path.TestForwarding.test_the_endpoint_gets_the_request_without_the_key",
    ),
    Guard(
        name="relay-denied-registration",
        file="core/relay/_placement.py",
        code="held = None if is_denied else _registered(endpoint, need)",
        without="held = _registered(endpoint, need)",
        test="tests.test_relay_dispatch.TestPlacement.test_a_registration_that_the_engine_denies",
    ),
)
