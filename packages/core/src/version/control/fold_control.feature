Feature: The control stream is folded by log order

  Scenario Outline: <history>
    When the control history "<history>" is folded
    Then the folded control state matches the snapshot

    Examples:
      | history                                      |
      | two operators at once                        |
      | a rollback                                   |
      | a takeover on an engine that checks numbers  |
      | a takeover on an engine that ignores numbers |
      | a renewal that lands before a claim |
      | a deposed holder that reports its own result |

  Scenario: Any split of the reads gives the same control state
    Then 300 random control streams fold alike from any split, checkpoint and repeat

  Scenario: Invariants of the control state hold at every record
    Then 500 random control histories keep the invariants
