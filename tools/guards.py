"""The guards of the decisions, each with the test that has to fail without it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Guard:
    """A piece of *code* in *file*, what to put in its place, and the *test* that then fails."""

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
        test=_CLASS + "test_a_larger_share_waits_for_who_has_not_seen_the_roster",
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
        test=_CLASS + "test_a_woken_home_does_not_use_its_larger_share_of_an_older_roster",
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
        code="lingers = busy or now_ms < residency.used_ms + LINGER_MS",
        without="lingers = busy",
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
        code="        self._observe_foreign(event.running, now_ms)\n",
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
        code="if self._table.order is not None or self._permit_asked:",
        without="if self._permit_asked:",
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
        test="tests.test_access.TestAccessLease.test_cut_off_from_everything",
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
        code="return min(heard_ms.values()) + PEER_ANSWER_MS",
        without="return max(heard_ms.values()) + PEER_ANSWER_MS",
        test="tests.test_access.TestAccessLease.test_a_silent_domain_may_hide_a_reader",
    ),
    Guard(
        name="older-value",
        file="core/_configuration.py",
        code="if revision <= held.good_revision:",
        without="if False:",
        test="tests.test_access.TestConfiguration.test_an_older_value_is_ignored",
    ),
    Guard(
        name="ledger-record",
        file="core/_ledger.py",
        code="        if record is not None:\n            return _repeat(record, call)\n",
        without="",
        test="tests.test_ledger.TestLedger.test_a_repeat_gets_the_first_answer",
    ),
    Guard(
        name="ledger-memory-lost",
        file="core/_ledger.py",
        code="self._past.append(_PastRoster(agents=self._agents, until_ms=now_ms))",
        without="pass",
        test="tests.test_ledger.TestLedger.test_an_agent_that_lost_its_memory_refuses_what_an_earlier_self_may_have_run",
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
        code="RECORD_LIFE_MS = TICKET_PERIOD_MS * (TICKET_PERIODS + 1)",
        without="RECORD_LIFE_MS = TICKET_PERIOD_MS",
        test="tests.test_ledger.TestLedger.test_records_outlive_the_tickets_they_were_made_under",
    ),
    Guard(
        name="hold-for-own-share",
        file="core/_budget.py",
        code="if now_ms + wait_ms <= held.deadline_ms:",
        without="if share.pledged_ms(now_ms):",
        test=_CLASS + "test_a_request_during_the_loss_of_the_home_waits_and_is_served",
    ),
    Guard(
        name="not-run-is-true",
        file="core/_offers.py",
        code="refusal.outcome = max(self._outcome, refusal.outcome, key=_CERTAINTY.__getitem__)",
        without="pass",
        test="tests.test_offers.TestOffers.test_the_last_refusal_does_not_hide_an_earlier_run",
    ),
    Guard(
        name="suspected-at-once",
        file="core/_engine.py",
        code="        if running is None or running.lost_ms is not None or self._table is None:",
        without="        if True:",
        test="tests.test_engine.TestEngineCore."
        "test_a_broken_run_is_suspected_before_its_entry_can_offer_it_again",
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
        code="self._pool_count = incarnation << INCARNATION_SHIFT",
        without="self._pool_count = 0",
        test=_CLASS + "test_a_refund_of_a_grant_by_an_earlier_process_is_dropped",
    ),
    Guard(
        name="messages-numbered-by-incarnation",
        file="core/_budget.py",
        code="self._sequence = incarnation << INCARNATION_SHIFT",
        without="self._sequence = 0",
        test=_CLASS + "test_an_answer_to_an_earlier_process_is_not_taken",
    ),
    Guard(
        name="not-run-of-a-key",
        file="entry/_front.py",
        code="        refusal.outcome = Outcome.UNKNOWN",
        without="        pass",
        test="tests.test_faults.TestOrdersUnderFaults.test_a_repeat_while_the_home_is_down",
    ),
    Guard(
        name="ledger-before-refusing",
        file="agent/_service_side.py",
        code="        if self._ledger.knows(call):\n            return None\n",
        without="",
        test="tests.test_service_side.TestTruthOfRefusals.test_a_repeat_while_draining",
    ),
)
