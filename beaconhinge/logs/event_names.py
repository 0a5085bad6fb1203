"""Events and counters that were renamed, so that logs of old and new versions are summed under one name.

`docs/oncall.md` has the same list for operators.
"""

from __future__ import annotations

NEW_NAMES = {
    "action_without_owner": "action_without_handler",
    "books_dropped": "quota_snapshot_discarded",
    "books_not_written": "quota_snapshot_write_failed",
    "books_restored": "quota_snapshot_restored",
    "books_written": "quota_snapshot_written",
    "datagrams_without_way": "datagrams_undeliverable",
    "discovery_spoke_unasked": "discovery_unsolicited_answer",
    "hand_not_written": "maintenance_write_failed",
    "handover_word_not_left": "handover_file_write_failed",
    "hands_foreign": "maintenance_records_foreign",
    "hands_not_read": "maintenance_read_failed",
    "hint_unread": "work_hint_malformed",
    "hints_bounded": "work_hints_bounded",
    "leases_step": "leases_council_changed",
    "leases_twice": "leases_port_taken",
    "life_not_counted": "incarnation_write_failed",
    "list_asked_after_standing_still": "lists_refreshed_after_stall",
    "list_out_of_turn": "list_unexpected",
    "management_callers_parted": "management_callers_closed",
    "module": "policy",
    "requests_after_the_end": "requests_after_shutdown",
}
"""Maps each old name to its present one."""


def current_name(name: str) -> str:
    """Return the present name of an event or counter; a name that was never changed stays."""
    return NEW_NAMES.get(name, name)
